#pragma once

#include <cmath>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Exponentially decaying average of a rate over the recent past.
class decaying_rate {
public:
    explicit decaying_rate(duration time_constant) : time_constant_(to_seconds(time_constant)) {}

    void add(double amount, instant now) {
        rate_ = at(now) + amount / time_constant_;
        updated_ = now;
    }

    /// Average at `now`, in units per second.
    double at(instant now) const {
        return rate_ * std::exp(-to_seconds(now - updated_) / time_constant_);
    }

private:
    double time_constant_;
    double rate_ = 0.0;
    instant updated_{};
};

}  // namespace fuchsiaquay
