#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/time/clock.hpp"
#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// Reads, conditional writes and leases of the platform's key-value store. Each handler runs
/// exactly once on the control thread, at the latest after the call timeout of the implementation.
class transactional_store {
public:
    using read_handler = std::function<void(const read_result&)>;
    using write_handler = std::function<void(const write_result&)>;
    /// Receives the lease id, or 0 if no lease was granted.
    using lease_handler = std::function<void(std::int64_t lease)>;
    /// Receives whether the lease is still held.
    using keep_alive_handler = std::function<void(bool held)>;

    transactional_store() = default;
    transactional_store(const transactional_store&) = delete;
    transactional_store& operator=(const transactional_store&) = delete;
    virtual ~transactional_store() = default;

    /// Reads one key. The result has no values if the key is absent.
    virtual void read(const std::string& key, read_handler done) = 0;
    /// Reads all keys that start with `prefix`, in key order. The values are at least as recent as
    /// the `store_revision` of the result.
    virtual void read_prefix(const std::string& prefix, read_handler done) = 0;
    virtual void commit(const transaction& change, write_handler done) = 0;
    virtual void grant_lease(duration lifetime, lease_handler done) = 0;
    virtual void keep_alive(std::int64_t lease, keep_alive_handler done) = 0;
    virtual void revoke_lease(std::int64_t lease) = 0;
};

}  // namespace fuchsiaquay
