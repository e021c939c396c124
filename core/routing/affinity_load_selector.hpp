#pragma once

#include "core/routing/upstream_selector.hpp"

namespace fuchsiaquay {

/// Selects the upstream with the lowest load, from which the cached tokens of the prompt are
/// subtracted. Does not distinguish short and long prompts. Baseline for benchmarks.
class affinity_load_selector final : public upstream_selector {
public:
    std::vector<scored_candidate> order(const routing_request& request,
                                        const std::vector<routing_candidate>& candidates,
                                        instant now) override;
    std::string name() const override;
};

}  // namespace fuchsiaquay
