#include "core/routing/affinity_load_selector.hpp"

#include <algorithm>

#include "core/routing/score_order.hpp"

namespace fuchsiaquay {

std::vector<scored_candidate> affinity_load_selector::order(
    const routing_request& request, const std::vector<routing_candidate>& candidates,
    instant /*now*/) {
    std::vector<scored_candidate> scored;
    for (const routing_candidate& candidate : candidates) {
        if (!can_hold(candidate, request)) {
            continue;
        }
        const double queued_tokens = candidate.queued_short_tokens + candidate.queued_long_tokens;
        const double load = std::max(queued_tokens, static_cast<double>(candidate.own_tokens));
        const double score =
            load - static_cast<double>(candidate.cached_tokens) + tie_breaker(request, candidate);
        scored.push_back(scored_candidate{candidate.upstream, score, candidate.cached_tokens,
                                          candidate.cached_tokens > 0 ? "prefix" : "load"});
    }
    sort_by_score(scored);
    return scored;
}

std::string affinity_load_selector::name() const {
    return "affinity_load";
}

}  // namespace fuchsiaquay
