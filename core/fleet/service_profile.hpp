#pragma once

#include <optional>
#include <string>

#include "core/fleet/engine_profile.hpp"

namespace fuchsiaquay {

/// What the configuration says of one service.
struct service_profile {
    std::string name;
    /// Connections that one upstream accepts from all hosts together.
    int max_connections = 1;
    /// Present where the upstreams are model engines.
    std::optional<engine_profile> engine;
};

}  // namespace fuchsiaquay
