#pragma once

#include <cstdint>
#include <vector>

#include "core/scheduling/fair_rank_policy.hpp"

namespace fuchsiaquay {

/// Candidate after the bandwidth allocation of a video bridge: every customer that waits gets a
/// first layer of service, the most urgent level then goes straight to its target, and the others
/// are improved one layer at a time in rank order. Kept as a baseline for measurements.
class layered_policy final : public fair_rank_policy {
public:
    explicit layered_policy(double tokens_per_second);

protected:
    flow* next_flow(lane& current, bool over_share, instant now) const override;
    std::vector<int> level_order(instant now) const override;
    bool is_over_share(const queued_request& queued, instant now) const override;

private:
    /// Layers that a customer was served of late.
    std::int64_t layers(const flow& own, instant now) const;
};

}  // namespace fuchsiaquay
