#include "core/scheduling/estimate_error.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

/// Shorter estimates are too small to learn a ratio from.
constexpr duration min_estimate = std::chrono::milliseconds(50);
constexpr double learning_rate = 0.02;
constexpr double min_correction = 0.5;
constexpr double max_correction = 2.0;

}  // namespace

void estimate_error::add(duration estimated, duration actual) {
    ++count_;
    absolute_sum_ += std::max(estimated - actual, actual - estimated);
    if (estimated < min_estimate) {
        return;
    }
    const double ratio = correction_ * to_seconds(actual) / to_seconds(estimated);
    const double bounded = std::clamp(ratio, min_correction, max_correction);
    correction_ += learning_rate * (bounded - correction_);
}

duration estimate_error::mean_absolute() const {
    return count_ == 0 ? duration::zero() : absolute_sum_ / count_;
}

}  // namespace fuchsiaquay
