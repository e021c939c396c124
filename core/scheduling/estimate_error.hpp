#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Compares estimated with actual waits and learns the ratio between them.
class estimate_error {
public:
    /// Enters one estimate with what happened.
    void add(duration estimated, duration actual);
    /// Ratio to multiply the next estimate by, 0.5 to 2.
    double correction() const noexcept { return correction_; }
    /// Mean of |estimated - actual| over all entries.
    duration mean_absolute() const;
    std::int64_t count() const noexcept { return count_; }

private:
    double correction_ = 1.0;
    duration absolute_sum_{};
    std::int64_t count_ = 0;
};

}  // namespace fuchsiaquay
