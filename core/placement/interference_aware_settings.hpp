#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `interference_aware_placement`.
struct interference_aware_settings {
    /// Fraction of `target_gap` that a pass may take. The rest is reserved for the network and for
    /// work that other hosts place concurrently.
    double gap_utilization = 0.8;
    /// Fraction of the time left until the first event that the estimate may take.
    double target_utilization = 0.85;
    /// The same for the first choice of a short prompt. It is lower because the estimate is often
    /// too low by half a pass.
    double preferred_target_utilization = 0.65;
    /// Fraction of an engine's memory that may be allocated. The rest is reserved for answers that
    /// exceed their estimate.
    double memory_utilization = 0.97;
    /// Maximum pending prefill time of an engine that receives a part of a prompt, or a long prompt
    /// that is late already.
    duration max_idle_prefill = std::chrono::milliseconds(150);
    /// Minimum free memory of an engine that keeps a part of a prompt, in tokens.
    std::int64_t min_group_memory_tokens = 20'000;
    /// Maximum number of engines that a request lists: those that process parts of its prompt in
    /// addition to the one that answers, and the latter too if it keeps its part in reserved
    /// memory. The limit is given by the interface of the engines.
    int max_helpers = 16;
    /// Tolerated error of the forecast before a very long prompt stops waiting.
    duration forecast_margin = std::chrono::milliseconds(500);
    /// Fraction of an engine's slots that short prompts occupy before they use another engine.
    double slot_utilization = 0.75;
    /// Number of passes by which a first event may be late before its engine counts as delayed.
    int overdue_passes = 3;
    /// Engines that are kept for short prompts when a long one is spread, as a multiple of those
    /// that short prompts need now.
    double short_prompt_growth = 1.5;
};

}  // namespace fuchsiaquay
