#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings for retries to upstreams.
struct retry_settings {
    /// Retries that each request adds to the budget of its customer.
    double retries_per_request = 0.1;
    /// Retries per second that a customer may make independently of its number of requests.
    double min_retries_per_second = 1.0;
    /// Maximum budget that a customer can accumulate, in retries.
    double max_saved_retries = 100.0;
    /// Maximum number of attempts of one request, including the first one.
    int max_attempts = 4;
    /// Upper limits of the first delay and of all delays.
    duration first_delay = std::chrono::milliseconds(20);
    duration max_delay = std::chrono::seconds(1);
};

}  // namespace fuchsiaquay
