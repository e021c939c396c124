#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Limit on the retries of the whole fleet, and the share of this host.
struct fleet_retry_settings {
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    duration window = std::chrono::seconds(10);
    /// Additional retries of the whole fleet per window.
    double allowance = 100.0;
    /// Minimum number of hosts that the allowance is divided by. A larger fleet uses its own size.
    int min_hosts = 16;
    /// Fraction of the ratio that is used. The rest is a reserve because requests move between
    /// hosts from window to window.
    double ratio_utilization = 0.8;
};

}  // namespace fuchsiaquay
