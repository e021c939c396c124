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
    /// Longest that a group may wait for all its parts.
    duration group_wait = std::chrono::seconds(20);
};

}  // namespace fuchsiaquay
