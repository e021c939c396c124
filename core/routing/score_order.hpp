#pragma once

#include <vector>

#include "core/routing/routing_candidate.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"

namespace fuchsiaquay {

/// True when the upstream could hold the request if it were empty.
bool can_hold(const routing_candidate& candidate, const routing_request& request);

/// Number in [0, 1) that depends on the request and the upstream only; spreads equal choices.
double tie_breaker(const routing_request& request, const routing_candidate& candidate);

/// Sorts by score, the lowest first, then by upstream id.
void sort_by_score(std::vector<scored_candidate>& scored);

}  // namespace fuchsiaquay
