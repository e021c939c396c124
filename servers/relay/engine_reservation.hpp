#pragma once

#include <cstdint>
#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Memory that a request reserves on one engine.
struct engine_reservation {
    network_address engine;
    std::int64_t tokens = 0;
    /// Id of the reservation, unique in the fleet.
    std::string id;
};

}  // namespace fuchsiaquay
