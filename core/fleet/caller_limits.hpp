#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Bounds on what a caller may send. The defaults hold until a configuration is known.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    /// Longest time to send the head of a request.
    duration header_timeout = std::chrono::seconds(3);
    /// Longest time that a connection may stay without a request.
    duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace fuchsiaquay
