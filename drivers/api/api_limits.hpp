#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Limits on requests of callers, and timeouts for upstreams.
struct api_limits {
    std::size_t max_body_bytes = std::size_t{16} << 20;
    /// Longest time in which a caller must have sent the request body.
    duration body_timeout = std::chrono::seconds(20);
    std::int64_t max_tokens = 32'768;
    std::int64_t default_max_tokens = 256;
    /// Longest time between two tokens of a stream before the call is ended as stalled.
    duration stall_timeout = std::chrono::seconds(2);
    /// Lowest prefill rate, in tokens per second, assumed by the timeout of the first token.
    std::int64_t min_prefill_rate = 2'000;
    /// Time without a write after which a comment is sent on a stream, which detects callers that
    /// have disconnected.
    duration keep_alive_period = std::chrono::milliseconds(400);
};

}  // namespace fuchsiaquay
