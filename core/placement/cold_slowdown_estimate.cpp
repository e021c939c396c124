#include "core/placement/cold_slowdown_estimate.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Assumed before a pass of a cold engine was observed. Nothing in the configuration tells it.
constexpr double assumed_slowdown = 2.0;
/// Weight of an observation. A cold time has some dozens of passes.
constexpr double weight = 0.1;
/// Larger ratios come from other causes, such as lost packets.
constexpr double max_ratio = 10.0;

}  // namespace

void cold_slowdown_estimate::observe(const std::string& service, double ratio) {
    double& estimate = estimates_.emplace(service, assumed_slowdown).first->second;
    estimate += weight * (std::clamp(ratio, 1.0, max_ratio) - estimate);
}

double cold_slowdown_estimate::slowdown_of(const std::string& service) const {
    const auto found = estimates_.find(service);
    return found == estimates_.end() ? assumed_slowdown : found->second;
}

}  // namespace fuchsiaquay
