#pragma once

#include <algorithm>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Rate limiter that lets a large item through on credit: an item passes while anything is left,
/// and the debt is paid before the next one.
class token_bucket {
public:
    /// @param rate   refill a second; negative lets everything pass
    /// @param burst  most that is saved up
    /// @param level  what is there at `now`
    token_bucket(double rate, double burst, double level, instant now)
        : rate_(rate), burst_(burst), level_(level), filled_(now) {}

    /// Changes the rate; what is saved is cut to the new burst.
    void set_rate(double rate, double burst, instant now) {
        fill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    /// Whether at least `least` is there.
    bool ready(double least, instant now) {
        fill(now);
        return rate_ < 0.0 || level_ >= least;
    }
    /// Takes `amount`, below zero if need be; negative gives back.
    void take(double amount) {
        if (rate_ >= 0.0) {
            level_ = std::min(burst_, level_ - amount);
        }
    }
    /// Time until `least` is there; the longest duration when it never will be.
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
