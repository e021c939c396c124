#include "core/routing/least_requests_selector.hpp"

#include "core/routing/score_order.hpp"

namespace fuchsiaquay {

std::vector<scored_candidate> least_requests_selector::order(
    const routing_request& request, const std::vector<routing_candidate>& candidates,
    instant /*now*/) {
    std::vector<scored_candidate> scored;
    for (const routing_candidate& candidate : candidates) {
        if (can_hold(candidate, request)) {
            const double score =
                static_cast<double>(candidate.own_requests) + tie_breaker(request, candidate);
            scored.push_back(scored_candidate{candidate.upstream, score, 0, "outstanding"});
        }
    }
    sort_by_score(scored);
    return scored;
}

std::string least_requests_selector::name() const {
    return "least_requests";
}

}  // namespace fuchsiaquay
