#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `length_aware_selector`.
struct length_aware_settings {
    /// Tokens a second of one upstream.
    double tokens_per_second = 14'800.0;
    /// Prompts with more uncached tokens than this are long.
    std::int64_t long_prompt_tokens = 32'768;
    /// A further upstream takes long prompts once the wait for the others exceeds this.
    duration max_long_wait = std::chrono::seconds(4);
    /// What a long prefill on the same upstream costs a short prompt, at most.
    duration long_prefill_cost = std::chrono::milliseconds(30);
    /// Affinity counts only where the known wait is below this.
    duration max_affinity_wait = std::chrono::milliseconds(200);
    /// What each running request costs a new one.
    duration running_request_cost = std::chrono::microseconds(500);
    /// Equal choices are spread within this.
    duration tie_break_range = std::chrono::milliseconds(10);
};

}  // namespace fuchsiaquay
