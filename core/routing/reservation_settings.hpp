#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `reservation` and `group_reservation`.
struct reservation_settings {
    /// Maximum number of upstreams that receive a reservation request for one request.
    std::size_t max_attempts = 3;
    /// Expected wait above which the entry host also sends a request to the next upstream.
    duration acceptable_wait = std::chrono::milliseconds(50);
    /// Owners that do not reply within this time are skipped.
    duration reply_timeout = std::chrono::milliseconds(250);
    /// Number of attempts for a group that end as soon as a part would wait longer than
    /// `acceptable_group_wait`. The entry host plans each attempt with its current view of the
    /// loads.
    std::size_t quick_group_attempts = 30;
    duration acceptable_group_wait = std::chrono::seconds(2);
    /// Delay between two attempts.
    duration group_retry_delay = std::chrono::seconds(1);
    /// Interval between renewals of the grants held so far.
    duration group_renewal_interval = std::chrono::seconds(3);
    /// Maximum time that the last attempt waits for all parts.
    duration max_group_wait = std::chrono::seconds(45);
};

}  // namespace fuchsiaquay
