#pragma once

#include "core/routing/upstream_selector.hpp"

namespace fuchsiaquay {

/// Selects the upstream with the fewest outstanding tokens of this entry host. Baseline for
/// benchmarks.
class least_tokens_selector final : public upstream_selector {
public:
    std::vector<scored_candidate> order(const routing_request& request,
                                        const std::vector<routing_candidate>& candidates,
                                        instant now) override;
    std::string name() const override;
};

}  // namespace fuchsiaquay
