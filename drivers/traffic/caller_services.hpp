#pragma once

#include <functional>

#include "core/fleet/caller_limits.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;
class relay_memory;
class request_format;
class request_handler;
class request_metrics;

/// Dependencies of caller connections. All references must outlive the connections.
struct caller_services {
    control_loop& loop;
    const request_format& format;
    request_handler& handler;
    relay_memory& memory;
    /// Returns the current limits.
    std::function<caller_limits()> limits;
    /// Returns true once this host is shutting down; responses then close their connections.
    std::function<bool()> stopping;
    decision_log& log;
    request_metrics& metrics;
};

}  // namespace fuchsiaquay
