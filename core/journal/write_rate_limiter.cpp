#include "core/journal/write_rate_limiter.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Keeps the wait finite when a node has no share of the budget.
constexpr double min_writes_per_second = 0.01;

}  // namespace

write_rate_limiter::write_rate_limiter(double per_second, double burst)
    : per_second_(std::max(per_second, min_writes_per_second)), burst_(burst), tokens_(burst) {}

bool write_rate_limiter::try_take(instant now) {
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void write_rate_limiter::return_unused() {
    tokens_ = std::min(burst_, tokens_ + 1.0);
}

duration write_rate_limiter::time_until_available(std::size_t ahead, instant now) {
    refill(now);
    const double missing = static_cast<double>(ahead) + 1.0 - tokens_;
    if (missing <= 0.0) {
        return duration::zero();
    }
    // Rounded up, so that the token is available when the wait ends.
    return from_seconds(missing / per_second_) + duration(1);
}

void write_rate_limiter::set_rate(double per_second, instant now) {
    refill(now);
    per_second_ = std::max(per_second, min_writes_per_second);
}

void write_rate_limiter::refill(instant now) {
    if (now <= last_refill_) {
        return;
    }
    tokens_ = std::min(burst_, tokens_ + per_second_ * to_seconds(now - last_refill_));
    last_refill_ = now;
}

}  // namespace fuchsiaquay
