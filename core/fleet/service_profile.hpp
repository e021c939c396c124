#pragma once

#include <optional>
#include <string>

#include "core/fleet/engine_profile.hpp"

namespace fuchsiaquay {

/// Configuration of one service.
struct service_profile {
    std::string name;
    /// Maximum number of connections that one upstream accepts from all hosts together.
    int max_connections = 1;
    /// Set if the upstreams are model engines.
    std::optional<engine_profile> engine;
};

}  // namespace fuchsiaquay
