#pragma once

#include <cstdint>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// An upstream that may serve a request, with what the entry host last knew of it.
struct routing_candidate {
    upstream_id upstream;
    /// KV memory in tokens.
    std::int64_t memory_tokens = 0;
    std::int64_t free_memory_tokens = 0;
    /// Prefill work of short and of long prompts, brought forward to now.
    double queued_short_tokens = 0.0;
    double queued_long_tokens = 0.0;
    std::int64_t running_requests = 0;
    /// How often long prompts were seen in prefill there of late, 0 to 1.
    double long_prefill_frequency = 0.0;
    /// What this entry host itself has there.
    std::int64_t own_requests = 0;
    std::int64_t own_tokens = 0;
    /// Tokens of the prompt expected in the prefix cache.
    std::int64_t cached_tokens = 0;
};

}  // namespace fuchsiaquay
