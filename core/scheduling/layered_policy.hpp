#pragma once

#include <cstdint>
#include <vector>

#include "core/scheduling/fair_rank_policy.hpp"

namespace fuchsiaquay {

/// Alternative policy modelled on the bandwidth allocation of a video bridge. Every customer with
/// waiting requests gets a first layer of service, the most urgent level is then served up to its
/// target, and the other levels are raised one layer at a time in rank order. Kept as a baseline
/// for measurements.
class layered_policy final : public fair_rank_policy {
public:
    explicit layered_policy(double tokens_per_second);

protected:
    flow* next_flow(lane& current, bool over_share, instant now) const override;
    std::vector<int> level_order(instant now) const override;
    bool is_over_share(const queued_request& queued, instant now) const override;

private:
    /// Number of layers that the customer was recently served.
    std::int64_t layers(const flow& customer_flow, instant now) const;
};

}  // namespace fuchsiaquay
