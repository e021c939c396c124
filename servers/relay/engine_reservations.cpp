#include "servers/relay/engine_reservations.hpp"

#include "core/placement/placement_decision.hpp"
#include "servers/fleet/upstream_registry.hpp"

namespace fuchsiaquay {

std::vector<engine_reservation> make_engine_reservations(const placement_decision& decision,
                                                         const upstream_registry& upstreams,
                                                         const std::string& id) {
    std::vector<engine_reservation> reservations;
    reservations.reserve(decision.helpers.size() + 1);
    reservations.push_back(
        {upstreams.find(decision.engine)->address, decision.reserved_tokens, id + "-0"});
    for (const placement_part& part : decision.helpers) {
        reservations.push_back({upstreams.find(part.engine)->address, part.reserved_tokens,
                                id + "-" + std::to_string(reservations.size())});
    }
    return reservations;
}

}  // namespace fuchsiaquay
