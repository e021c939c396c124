#pragma once

#include <string>
#include <vector>

#include "core/routing/routing_candidate.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Orders the upstreams that may serve a request, the best first.
class upstream_selector {
public:
    upstream_selector() = default;
    upstream_selector(const upstream_selector&) = delete;
    upstream_selector& operator=(const upstream_selector&) = delete;
    virtual ~upstream_selector() = default;

    /// Every candidate that could ever hold the request, best first.
    virtual std::vector<scored_candidate> order(const routing_request& request,
                                                const std::vector<routing_candidate>& candidates,
                                                instant now) = 0;
    /// Stable name for logs and tables.
    virtual std::string name() const = 0;
};

}  // namespace fuchsiaquay
