#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Published timing of the model engines of a service. Figures are those of the configuration.
struct engine_profile {
    /// Requests that are processed at once.
    int slots = 1;
    /// Tokens of context that fit into memory.
    std::int64_t memory_tokens = 0;
    /// Token steps of a pass that includes writers.
    int steps_per_pass = 1;
    /// Milliseconds of one step, and what each writer and each 1,000 tokens of context add to it.
    double step_ms = 1.0;
    double step_ms_per_writer = 0.0;
    double step_ms_per_context_k = 0.0;
    /// Prompt tokens read in a second, and milliseconds for a million pairs of tokens.
    double read_tokens_per_second = 1.0;
    double read_ms_per_million_pairs = 0.0;
    /// Prompt tokens read in one step at most.
    std::int64_t read_tokens_per_step = 1;
    /// Milliseconds that each step of a request takes longer when other engines hold parts of it.
    double helper_hop_ms = 0.0;
    /// Mean tokens of an answer.
    std::int64_t usual_answer_tokens = 1;
};

}  // namespace fuchsiaquay
