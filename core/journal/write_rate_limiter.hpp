#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Token bucket that limits the rate of writes.
class write_rate_limiter {
public:
    /// @param per_second  writes per second, above 0
    /// @param burst       number of writes that may be made in one burst, at least 1
    write_rate_limiter(double per_second, double burst);

    /// Takes one token if there is one now.
    bool try_take(instant now);
    /// Returns a token whose write was not made.
    void return_unused();
    /// Time until one more write is allowed after `ahead` queued writes. Zero if it is allowed now.
    duration time_until_available(std::size_t ahead, instant now);
    /// Changes the rate from now on.
    void set_rate(double per_second, instant now);

private:
    void refill(instant now);

    double per_second_;
    double burst_;
    double tokens_;
    instant last_refill_{};
};

}  // namespace fuchsiaquay
