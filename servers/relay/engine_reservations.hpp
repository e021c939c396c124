#pragma once

#include <string>
#include <vector>

#include "servers/relay/engine_reservation.hpp"

namespace fuchsiaquay {

class upstream_registry;
struct placement_decision;

/// Returns a reservation for each engine of `decision`, starting with the engine that answers.
/// @param id  prefix of the reservation ids, unique in the fleet
std::vector<engine_reservation> make_engine_reservations(const placement_decision& decision,
                                                         const upstream_registry& upstreams,
                                                         const std::string& id);

}  // namespace fuchsiaquay
