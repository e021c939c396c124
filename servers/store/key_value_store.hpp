#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/time/clock.hpp"
#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/watch_event.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// The platform's key-value service. Handlers run on the control thread, exactly once for reads
/// and writes, after at most the call time-out of the binding.
class key_value_store {
public:
    using read_handler = std::function<void(const read_result&)>;
    using write_handler = std::function<void(const write_result&)>;
    /// Receives the lease id, or 0 when no lease was granted.
    using lease_handler = std::function<void(std::int64_t lease)>;
    /// Receives whether the lease is still held.
    using keep_alive_handler = std::function<void(bool held)>;
    using watch_handler = std::function<void(const watch_event&)>;
    /// Called once when a watch ends by failure, with the reason.
    using watch_end_handler = std::function<void(const std::string& reason)>;
    using watch_id = std::uint64_t;

    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// Reads one key. An absent key gives no values.
    virtual void read(const std::string& key, read_handler done) = 0;
    /// Reads every key that starts with `prefix`, in key order.
    virtual void read_prefix(const std::string& prefix, read_handler done) = 0;
    virtual void commit(const transaction& change, write_handler done) = 0;
    virtual void grant_lease(duration lifetime, lease_handler done) = 0;
    virtual void keep_alive(std::int64_t lease, keep_alive_handler done) = 0;
    virtual void revoke_lease(std::int64_t lease) = 0;
    /// Reports changes under `prefix` from `from_revision` on, in revision order.
    virtual watch_id watch(const std::string& prefix, std::int64_t from_revision,
                           watch_handler event, watch_end_handler end) = 0;
    virtual void cancel_watch(watch_id id) = 0;
};

}  // namespace fuchsiaquay
