#pragma once

#include <cstdint>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Part of a prompt that one engine of a group keeps in memory.
struct group_part {
    upstream_id upstream;
    /// Prompt tokens of the part.
    std::int64_t prompt_tokens = 0;
    /// KV cache to reserve on the engine, in tokens.
    std::int64_t memory_tokens = 0;
    /// True for the engine that generates the answer.
    bool generates = false;
};

}  // namespace fuchsiaquay
