#pragma once

#include <functional>

#include "core/fleet/caller_limits.hpp"

namespace fuchsiaquay {

class body_budget;
class control_loop;
class request_format;
class request_handler;

/// What connections of callers need. All references outlive the connections.
struct caller_services {
    control_loop& loop;
    const request_format& format;
    request_handler& handler;
    body_budget& body_memory;
    /// Limits now in force.
    std::function<caller_limits()> limits;
    /// True once this host is stopping: answers then end their connections.
    std::function<bool()> stopping;
};

}  // namespace fuchsiaquay
