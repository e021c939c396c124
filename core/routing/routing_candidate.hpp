#pragma once

#include <cstdint>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// An upstream that may serve a request, with its last state known to the entry host.
struct routing_candidate {
    upstream_id upstream;
    /// KV memory in tokens.
    std::int64_t memory_tokens = 0;
    std::int64_t free_memory_tokens = 0;
    /// Queued prefill of short and of long prompts, extrapolated to the current time.
    double queued_short_tokens = 0.0;
    double queued_long_tokens = 0.0;
    std::int64_t running_requests = 0;
    /// Moving average of how often long prompts were in prefill there, from 0 to 1.
    double long_prefill_frequency = 0.0;
    /// Outstanding requests and tokens of this entry host on the upstream.
    std::int64_t own_requests = 0;
    std::int64_t own_tokens = 0;
    /// Prompt tokens expected to be in the prefix cache.
    std::int64_t cached_tokens = 0;
};

}  // namespace fuchsiaquay
