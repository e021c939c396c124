#pragma once

#include <string>
#include <vector>

#include "servers/relay/engine_reservation.hpp"

namespace fuchsiaquay {

class upstream_registry;
struct placement_decision;

/// Memory that the engines of `decision` have to hold, the one that answers first.
/// @param id  beginning of the reservations' names, unique in the fleet
std::vector<engine_reservation> make_engine_reservations(const placement_decision& decision,
                                                         const upstream_registry& upstreams,
                                                         const std::string& id);

}  // namespace fuchsiaquay
