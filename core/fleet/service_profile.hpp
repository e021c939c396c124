#pragma once

#include <optional>
#include <string>

#include "core/fleet/engine_profile.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Configuration of one service.
struct service_profile {
    std::string name;
    /// Maximum number of connections that one upstream accepts from all hosts together.
    int max_connections = 1;
    /// Set if the upstreams are model engines.
    std::optional<engine_profile> engine;
    /// Time for which an upstream stays cold after it starts.
    duration cold_time{};
    /// Requests per second that a cold upstream tolerates from all hosts together; 0 if there is no
    /// limit.
    double cold_requests_per_s = 0.0;
};

}  // namespace fuchsiaquay
