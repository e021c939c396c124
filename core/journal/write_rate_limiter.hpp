#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Token bucket that keeps writes within a rate.
class write_rate_limiter {
public:
    /// @param per_second  writes a second, above 0
    /// @param burst       writes that may follow each other at once, at least 1
    write_rate_limiter(double per_second, double burst);

    /// Takes one write if the budget allows it now.
    bool try_take(instant now);
    /// Returns a write that was taken and not made.
    void return_unused();
    /// Time until the budget allows one more write after `ahead` others. Zero when it does now.
    duration time_until_available(std::size_t ahead, instant now);
    /// Changes the rate from now on.
    void set_rate(double per_second, instant now);

private:
    void refill(instant now);

    double per_second_;
    double burst_;
    double tokens_;
    instant last_{};
};

}  // namespace fuchsiaquay
