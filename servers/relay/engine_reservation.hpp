#pragma once

#include <cstdint>
#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Memory of one engine that a request needs.
struct engine_reservation {
    network_address engine;
    std::int64_t tokens = 0;
    /// Name of the reservation, unique in the fleet.
    std::string id;
};

}  // namespace fuchsiaquay
