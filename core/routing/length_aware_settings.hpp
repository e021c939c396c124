#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `length_aware_selector`.
struct length_aware_settings {
    /// Prefill speed of one upstream, in tokens per second.
    double tokens_per_second = 14'800.0;
    /// Prompts with more tokens than this are long.
    std::int64_t long_prompt_tokens = 32'768;
    /// Wait for long prompts above which they use another upstream.
    duration max_long_wait = std::chrono::seconds(4);
    /// Maximum delay of a short prompt caused by long prefills on the same upstream.
    duration long_prefill_cost = std::chrono::milliseconds(30);
    /// Expected wait above which cached tokens are ignored.
    duration max_affinity_wait = std::chrono::milliseconds(200);
    /// Delay of a new request caused by each running request.
    duration running_request_cost = std::chrono::microseconds(500);
    /// Range of the random offset that distributes requests among equal upstreams.
    duration tie_break_range = std::chrono::milliseconds(10);
};

}  // namespace fuchsiaquay
