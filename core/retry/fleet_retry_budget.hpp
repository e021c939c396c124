#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/retry/fleet_retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// This host's share of the retries that the whole fleet may send to a service. In each sliding
/// window, the retries are limited to a fraction of the host's own requests plus a share of the
/// fleet's allowance. The sum over all hosts stays within the limit of the fleet even when hosts
/// join or leave.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(fleet_retry_settings settings) : settings_(settings) {}

    /// Sets the number of hosts that share the allowance. Leaves a reserve for hosts that join.
    void set_live_hosts(std::size_t live_hosts);
    /// Counts a request of a caller to `service`.
    void on_request(const std::string& service, instant now);
    /// Consumes one retry. Returns false if this host's share is exhausted.
    bool try_take(const std::string& service, instant now);

    /// Number of retries granted and denied since the start.
    std::uint64_t granted() const noexcept { return granted_; }
    std::uint64_t denied() const noexcept { return denied_; }

private:
    struct window {
        std::deque<instant> requests;
        std::deque<instant> retries;
    };

    void remove_expired(window& item, instant now) const;

    fleet_retry_settings settings_;
    /// Number of hosts that the allowance is divided by.
    double hosts_ = settings_.min_hosts;
    std::unordered_map<std::string, window> services_;
    std::uint64_t granted_ = 0;
    std::uint64_t denied_ = 0;
};

}  // namespace fuchsiaquay
