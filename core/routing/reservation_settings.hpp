#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `reservation` and `group_reservation`.
struct reservation_settings {
    /// Upstreams asked for one request, at most.
    std::size_t max_attempts = 3;
    /// A queue place with a longer expected wait makes the entry host ask the next upstream.
    duration acceptable_wait = std::chrono::milliseconds(50);
    /// An owner that has not answered by then is left out.
    duration reply_timeout = std::chrono::milliseconds(250);
    /// Attempts of a group that end as soon as a part would wait longer than
    /// `acceptable_group_wait`; the entry host plans each anew with the loads it has learned.
    std::size_t quick_group_attempts = 30;
    duration acceptable_group_wait = std::chrono::seconds(2);
    /// Pause between two attempts.
    duration group_retry_delay = std::chrono::seconds(1);
    /// Between two renewals of the parts granted so far.
    duration group_renewal_interval = std::chrono::seconds(3);
    /// Longest that the last attempt waits for all its parts.
    duration max_group_wait = std::chrono::seconds(45);
};

}  // namespace fuchsiaquay
