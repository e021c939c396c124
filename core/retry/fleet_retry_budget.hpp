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

/// This host's part of the retries that all hosts together may send to a service. In each sliding
/// window it stays below a share of the host's own requests and a part of the fleet's allowance, so
/// that the sum over the hosts keeps the fleet's bound however the hosts come and go.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(fleet_retry_settings settings) : settings_(settings) {}

    /// Takes over how many hosts share the allowance now; hosts that join are provided for.
    void set_live_hosts(std::size_t live_hosts);
    /// Counts a request of a caller to `service`.
    void on_request(const std::string& service, instant now);
    /// Takes one repeated attempt. False: the part is spent.
    bool try_take(const std::string& service, instant now);

    /// Repeated attempts that were taken and that were denied, since the start.
    std::uint64_t taken() const noexcept { return taken_; }
    std::uint64_t denied() const noexcept { return denied_; }

private:
    struct window {
        std::deque<instant> requests;
        std::deque<instant> repeats;
    };

    void forget_old(window& item, instant now) const;

    fleet_retry_settings settings_;
    /// Hosts that the allowance is divided by.
    double hosts_ = settings_.min_hosts;
    std::unordered_map<std::string, window> services_;
    std::uint64_t taken_ = 0;
    std::uint64_t denied_ = 0;
};

}  // namespace fuchsiaquay
