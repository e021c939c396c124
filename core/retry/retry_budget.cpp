#include "core/retry/retry_budget.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// A new customer starts with the retries that the minimum rate grants in this time.
constexpr duration initial_budget_time = std::chrono::seconds(10);

}  // namespace

retry_budget::retry_budget(const retry_settings& settings)
    : settings_(settings),
      retries_(std::min(settings.max_saved_retries,
                        settings.min_retries_per_second * to_seconds(initial_budget_time))) {}

void retry_budget::on_request(instant now) {
    refill(now);
    retries_ = std::min(settings_.max_saved_retries, retries_ + settings_.retries_per_request);
}

bool retry_budget::try_take(instant now) {
    refill(now);
    if (retries_ < 1.0) {
        return false;
    }
    retries_ -= 1.0;
    return true;
}

double retry_budget::remaining(instant now) {
    refill(now);
    return retries_;
}

void retry_budget::refill(instant now) {
    if (now <= last_) {
        return;
    }
    const double added = settings_.min_retries_per_second * to_seconds(now - last_);
    retries_ = std::min(settings_.max_saved_retries, retries_ + added);
    last_ = now;
}

}  // namespace fuchsiaquay
