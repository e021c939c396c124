#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Bound on the retries of the whole fleet, and this host's part of it.
struct fleet_retry_settings {
    /// Retries allowed for each request of the window.
    double ratio = 0.2;
    duration window = std::chrono::seconds(10);
    /// Retries of the whole fleet in a window, beyond the ratio.
    double allowance = 100.0;
    /// Hosts that the allowance is divided by at least; a larger fleet divides it further.
    int min_hosts = 16;
    /// Part of the ratio that is used; requests move between hosts from window to window.
    double ratio_utilization = 0.8;
};

}  // namespace fuchsiaquay
