#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Speeds and sizes of one emulated engine. One batch step takes `step_base` plus `token_cost` for
/// each token in it; a step holds at most `step_tokens` tokens, decode before prefill.
/// The defaults give a full step of 27 ms and 14,800 prefill tokens a second on an idle engine.
struct engine_settings {
    /// KV memory in tokens; running and held streams and the prefix cache share it.
    std::int64_t memory_tokens = 400'000;
    /// Token limit of one step: one for each decoding stream, the rest for prefill chunks.
    std::int64_t step_tokens = 400;
    /// Fixed duration of a step.
    duration step_base = std::chrono::milliseconds(7);
    /// Time for each token in a step; 50 us is 20,000 prefill tokens a second.
    duration token_cost = std::chrono::microseconds(50);
    /// Stream limit of the batch; the others wait.
    std::int64_t max_running = 128;
    /// Token limit of the prefix cache, which uses only memory that no stream needs.
    std::int64_t cache_tokens = 200'000;
    /// Age of the load that `load` reports.
    duration load_lag = std::chrono::milliseconds(200);
    /// Delay before a cache event becomes visible.
    duration cache_event_delay = std::chrono::milliseconds(500);
    /// Fraction of the cache events that are lost, 0 to 1.
    double cache_event_loss = 0.1;
    /// When false, `advance` reports only the first and the last token of a stream.
    bool report_every_token = true;
};

}  // namespace fuchsiaquay
