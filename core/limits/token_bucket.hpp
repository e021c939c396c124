#pragma once

#include <algorithm>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Token bucket that allows debt: an item of any size passes while the bucket is not empty, and the
/// debt is refilled before the next item passes.
class token_bucket {
public:
    /// @param rate   refill per second; negative lets everything pass
    /// @param burst  capacity of the bucket
    /// @param level  fill level at `now`
    token_bucket(double rate, double burst, double level, instant now)
        : rate_(rate), burst_(burst), level_(level), filled_(now) {}

    /// Changes the rate; the fill level is cut to the new burst.
    void set_rate(double rate, double burst, instant now) {
        fill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    /// Returns true if the fill level is at least `least`.
    bool ready(double least, instant now) {
        fill(now);
        return rate_ < 0.0 || level_ >= least;
    }
    /// Removes `amount`, below zero if necessary; a negative amount is added back.
    void take(double amount) {
        if (rate_ >= 0.0) {
            level_ = std::min(burst_, level_ - amount);
        }
    }
    /// Time until the fill level reaches `least`; the longest duration if it never will.
    duration wait(double least) const {
        if (level_ >= least) {
            return duration::zero();
        }
        return rate_ > 0.0 ? from_seconds((least - level_) / rate_) : duration::max();
    }

private:
    void fill(instant now) {
        if (rate_ > 0.0 && now > filled_) {
            level_ = std::min(burst_, level_ + rate_ * to_seconds(now - filled_));
        }
        filled_ = std::max(filled_, now);
    }

    double rate_;
    double burst_;
    double level_;
    instant filled_;
};

}  // namespace fuchsiaquay
