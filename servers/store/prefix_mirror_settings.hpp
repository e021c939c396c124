#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of a `prefix_mirror`.
struct prefix_mirror_settings {
    /// Maximum wait of one poll. Each completed poll confirms the copy.
    duration poll_wait = std::chrono::milliseconds(500);
    /// Delay after a poll that returned changes, so that frequent changes are batched.
    duration pause_after_changes{};
    /// The store may withhold changes from watchers for this long before it reports it: one second
    /// according to the platform's documentation of dropped history, plus one late answer.
    duration watch_lag = std::chrono::milliseconds(1200);
    /// How long a copy is valid after its last confirmation.
    duration freshness_limit = std::chrono::seconds(5);
    /// Time after which every change has to be in force, not counting `watch_lag`.
    duration apply_limit = duration::max() / 2;
};

}  // namespace fuchsiaquay
