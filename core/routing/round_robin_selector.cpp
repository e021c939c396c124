#include "core/routing/round_robin_selector.hpp"

#include "core/routing/score_order.hpp"

namespace fuchsiaquay {

std::vector<scored_candidate> round_robin_selector::order(
    const routing_request& request, const std::vector<routing_candidate>& candidates,
    instant /*now*/) {
    std::vector<scored_candidate> scored;
    const std::size_t start = next_++;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const routing_candidate& candidate = candidates[(start + i) % candidates.size()];
        if (can_hold(candidate, request)) {
            scored.push_back(
                scored_candidate{candidate.upstream, static_cast<double>(i), 0, "turn"});
        }
    }
    return scored;
}

std::string round_robin_selector::name() const {
    return "round_robin";
}

}  // namespace fuchsiaquay
