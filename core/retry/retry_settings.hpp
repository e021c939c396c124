#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of retries towards upstreams.
struct retry_settings {
    /// Retries that each request adds to its customer's budget.
    double retries_per_request = 0.1;
    /// Retries a second that every customer may make however few its requests are.
    double min_retries_per_second = 1.0;
    /// Largest budget that a customer can save up, in retries.
    double max_saved_retries = 100.0;
    /// Attempts of one request, the first one included.
    int max_attempts = 4;
    /// Upper end of the first delay and of every delay.
    duration first_delay = std::chrono::milliseconds(20);
    duration max_delay = std::chrono::seconds(1);
};

}  // namespace fuchsiaquay
