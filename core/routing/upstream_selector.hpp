#pragma once

#include <string>
#include <vector>

#include "core/routing/routing_candidate.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Sorts the upstreams that may serve a request by preference, the best one first.
class upstream_selector {
public:
    upstream_selector() = default;
    upstream_selector(const upstream_selector&) = delete;
    upstream_selector& operator=(const upstream_selector&) = delete;
    virtual ~upstream_selector() = default;

    /// Returns the candidates whose total memory can hold the request, the best one first.
    virtual std::vector<scored_candidate> order(const routing_request& request,
                                                const std::vector<routing_candidate>& candidates,
                                                instant now) = 0;
    /// Stable name for logs and benchmark tables.
    virtual std::string name() const = 0;
};

}  // namespace fuchsiaquay
