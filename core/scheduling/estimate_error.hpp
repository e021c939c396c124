#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Compares estimated with actual waits and learns the ratio between them.
class estimate_error {
public:
    /// Records an estimated wait together with the actual one.
    void add(duration estimated, duration actual);
    /// Factor to apply to the next estimate, 0.5 to 2.
    double correction() const noexcept { return correction_; }
    /// Mean of |estimated - actual| over all recorded waits.
    duration mean_absolute() const;
    std::int64_t count() const noexcept { return count_; }

private:
    double correction_ = 1.0;
    duration absolute_sum_{};
    std::int64_t count_ = 0;
};

}  // namespace fuchsiaquay
