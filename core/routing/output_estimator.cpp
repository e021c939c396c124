#include "core/routing/output_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaquay {
namespace {

/// Estimate for customers and models without observations.
constexpr double initial_tokens = 256.0;
constexpr double learning_rate = 0.05;
/// Maximum number of customer and model pairs. The map is cleared when it is full.
constexpr std::size_t max_entries = 32'768;

}  // namespace

std::int64_t output_estimator::estimate(const customer_id& customer, const model_id& model,
                                        std::int64_t max_tokens) const {
    const auto found = statistics_.find({customer, model});
    const double mean = found == statistics_.end() ? initial_tokens : found->second.mean;
    return std::min(std::max<std::int64_t>(std::llround(mean), 1), max_tokens);
}

void output_estimator::observe(const customer_id& customer, const model_id& model,
                               std::int64_t output_tokens) {
    if (statistics_.size() >= max_entries) {
        statistics_.clear();
    }
    const auto actual = static_cast<double>(output_tokens);
    statistics& entry =
        statistics_.try_emplace({customer, model}, statistics{initial_tokens, 0.0}).first->second;
    error_sum_ += std::abs(entry.mean - actual) / std::max(actual, 1.0);
    ++error_count_;
    entry.count += 1.0;
    entry.mean += std::max(learning_rate, 1.0 / entry.count) * (actual - entry.mean);
}

double output_estimator::mean_relative_error() const {
    return error_count_ == 0 ? 0.0 : error_sum_ / static_cast<double>(error_count_);
}

}  // namespace fuchsiaquay
