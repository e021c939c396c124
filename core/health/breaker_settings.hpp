#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of the circuit breaker of an upstream.
struct breaker_settings {
    /// Failures in a row that open the circuit.
    int failure_threshold = 3;
    /// First and largest time for which the circuit stays open.
    duration open_min = std::chrono::seconds(1);
    duration open_max = std::chrono::seconds(30);
    /// Requests let through at once while the circuit is half open.
    int max_trials = 1;
    /// A trial without a result for this long counts as failed.
    duration trial_timeout = std::chrono::seconds(10);
};

}  // namespace fuchsiaquay
