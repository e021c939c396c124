#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Published performance figures of the model engines of a service, as given in the configuration.
struct engine_profile {
    /// Number of requests that an engine processes concurrently.
    int slots = 1;
    /// Number of context tokens that fit into memory.
    std::int64_t memory_tokens = 0;
    /// Memory of one token, which moves between engines that process parts of a prompt.
    std::int64_t memory_bytes_per_token = 0;
    /// Decoding steps of a pass that includes requests in the decoding phase.
    int steps_per_pass = 1;
    /// Duration of one step, and the time that each decoding request and each 1,000 tokens of
    /// context add to it.
    double step_ms = 1.0;
    double step_ms_per_writer = 0.0;
    double step_ms_per_context_k = 0.0;
    /// Prefill rate, and the additional time for each million pairs of prompt tokens.
    double read_tokens_per_second = 1.0;
    double read_ms_per_million_pairs = 0.0;
    /// Maximum number of prompt tokens that one step processes.
    std::int64_t read_tokens_per_step = 1;
    /// Time that is added to each step of a request if other engines hold parts of its context.
    double helper_hop_ms = 0.0;
    /// Mean number of tokens of an answer.
    std::int64_t usual_answer_tokens = 1;
};

}  // namespace fuchsiaquay
