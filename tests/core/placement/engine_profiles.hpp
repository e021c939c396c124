#pragma once

#include "core/fleet/engine_profile.hpp"

namespace fuchsiaquay::testing {

/// Model engines with 16 slots. A prompt of 5,000 tokens takes 21 ms.
inline engine_profile wide_engine_profile() {
    engine_profile profile;
    profile.slots = 16;
    profile.memory_tokens = 450'000;
    profile.steps_per_pass = 46;
    profile.step_ms = 0.925;
    profile.step_ms_per_writer = 0.00483;
    profile.step_ms_per_context_k = 0.00254;
    profile.read_tokens_per_second = 256'000;
    profile.read_ms_per_million_pairs = 0.0917;
    profile.read_tokens_per_step = 2'048;
    return profile;
}

/// Model engines with 12 slots that take 34 ms for a prompt of 5,000 tokens, and 7 s for one of
/// 260,000.
inline engine_profile narrow_engine_profile() {
    engine_profile profile;
    profile.slots = 12;
    profile.memory_tokens = 344'250;
    profile.memory_bytes_per_token = 163'840;
    profile.steps_per_pass = 38;
    profile.step_ms = 1.31;
    profile.step_ms_per_writer = 0.000917;
    profile.step_ms_per_context_k = 0.00213;
    profile.read_tokens_per_second = 154'000;
    profile.read_ms_per_million_pairs = 0.162;
    profile.read_tokens_per_step = 2'048;
    return profile;
}

}  // namespace fuchsiaquay::testing
