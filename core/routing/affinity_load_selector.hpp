#pragma once

#include "core/routing/upstream_selector.hpp"

namespace fuchsiaquay {

/// Least load with prefix affinity, blind to length: cached tokens count against known load.
/// Baseline for measurements.
class affinity_load_selector final : public upstream_selector {
public:
    std::vector<scored_candidate> order(const routing_request& request,
                                        const std::vector<routing_candidate>& candidates,
                                        instant now) override;
    std::string name() const override;
};

}  // namespace fuchsiaquay
