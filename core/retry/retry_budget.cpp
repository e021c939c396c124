#include "core/retry/retry_budget.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Time for which a new customer has the minimum rate in hand.
constexpr duration initial_saving = std::chrono::seconds(10);

}  // namespace

retry_budget::retry_budget(const retry_settings& settings)
    : settings_(settings),
      retries_(std::min(settings.max_saved_retries,
                        settings.min_retries_per_second * to_seconds(initial_saving))) {}

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
    const double grown = settings_.min_retries_per_second * to_seconds(now - last_);
    retries_ = std::min(settings_.max_saved_retries, retries_ + grown);
    last_ = now;
}

}  // namespace fuchsiaquay
