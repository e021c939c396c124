#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/time/clock.hpp"
#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// Reads, conditional writes and leases of the platform's key-value service. Handlers run on the
/// control thread, exactly once, after at most the call time-out of the binding.
class transactional_store {
public:
    using read_handler = std::function<void(const read_result&)>;
    using write_handler = std::function<void(const write_result&)>;
    /// Receives the lease id, or 0 when no lease was granted.
    using lease_handler = std::function<void(std::int64_t lease)>;
    /// Receives whether the lease is still held.
    using keep_alive_handler = std::function<void(bool held)>;

    transactional_store() = default;
    transactional_store(const transactional_store&) = delete;
    transactional_store& operator=(const transactional_store&) = delete;
    virtual ~transactional_store() = default;

    /// Reads one key. An absent key gives no values.
    virtual void read(const std::string& key, read_handler done) = 0;
    /// Reads every key that starts with `prefix`, in key order. The values are at least as new as
    /// the `store_revision` of the result.
    virtual void read_prefix(const std::string& prefix, read_handler done) = 0;
    virtual void commit(const transaction& change, write_handler done) = 0;
    virtual void grant_lease(duration lifetime, lease_handler done) = 0;
    virtual void keep_alive(std::int64_t lease, keep_alive_handler done) = 0;
    virtual void revoke_lease(std::int64_t lease) = 0;
};

}  // namespace fuchsiaquay
