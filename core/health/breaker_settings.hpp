#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of the circuit breaker of an upstream.
struct breaker_settings {
    /// Consecutive failures that open the circuit.
    int failure_threshold = 3;
    /// Minimum and maximum time for which the circuit stays open.
    duration open_min = std::chrono::seconds(1);
    duration open_max = std::chrono::seconds(30);
    /// Concurrent trial requests while the circuit is half open.
    int max_trials = 1;
    /// A trial without a result for this time counts as failed.
    duration trial_timeout = std::chrono::seconds(10);
};

}  // namespace fuchsiaquay
