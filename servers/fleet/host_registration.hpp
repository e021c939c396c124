#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace fuchsiaquay {

class decision_log;
class polled_store;
class timer_service;

/// Keeps this host's entry in the store, bound to a lease. Serving hosts find each other by these
/// entries.
class host_registration {
public:
    /// Receives the store revision of the entry, which increases with each start of the host.
    using written_handler = std::function<void(std::uint64_t revision)>;

    host_registration(polled_store& store, timer_service& timers, decision_log& log,
                      std::string key);

    /// Writes the entry and renews its lease until `stop`. Writes it again if the lease expires.
    void start(std::string value, written_handler on_written);
    void stop();
    /// Writes the entry again, with a new lease.
    void register_again();

private:
    void register_entry();
    void write(std::int64_t lease);
    void renew();
    void retry();

    polled_store& store_;
    timer_service& timers_;
    decision_log& log_;
    std::string key_;
    std::string value_;
    written_handler written_handler_;
    bool enabled_ = false;
    /// Whether a registration is in progress or waits for a retry.
    bool registering_ = false;
    std::int64_t lease_ = 0;
};

}  // namespace fuchsiaquay
