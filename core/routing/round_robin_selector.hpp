#pragma once

#include <cstddef>

#include "core/routing/upstream_selector.hpp"

namespace fuchsiaquay {

/// Selects the upstreams in turn. Baseline for benchmarks.
class round_robin_selector final : public upstream_selector {
public:
    std::vector<scored_candidate> order(const routing_request& request,
                                        const std::vector<routing_candidate>& candidates,
                                        instant now) override;
    std::string name() const override;

private:
    std::size_t next_ = 0;
};

}  // namespace fuchsiaquay
