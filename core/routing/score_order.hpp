#pragma once

#include <vector>

#include "core/routing/routing_candidate.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"

namespace fuchsiaquay {

/// True if the request fits into the total memory of the upstream.
bool can_hold(const routing_candidate& candidate, const routing_request& request);

/// Number in [0, 1) that depends only on the request and the upstream. Distributes requests among
/// equal upstreams.
double tie_breaker(const routing_request& request, const routing_candidate& candidate);

/// Sorts by score in ascending order, then by upstream id.
void sort_by_score(std::vector<scored_candidate>& scored);

}  // namespace fuchsiaquay
