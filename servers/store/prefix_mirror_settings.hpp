#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How a copy of the keys under a prefix is kept current.
struct prefix_mirror_settings {
    /// Longest wait of one poll. Each finished poll confirms the copy.
    duration poll_wait = std::chrono::milliseconds(500);
    /// Pause after a poll that brought changes, so that frequent changes share calls.
    duration pause_after_changes{};
    /// The store may leave its watchers without changes for this long before it says so. Source:
    /// the platform's note on dropped history (one second), and one late answer.
    duration watch_lag = std::chrono::milliseconds(1200);
    /// A copy may be relied on for this long after it was last confirmed.
    duration freshness_limit = std::chrono::seconds(5);
};

}  // namespace fuchsiaquay
