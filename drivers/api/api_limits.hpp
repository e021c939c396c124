#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Bounds on what callers may send and on how long upstreams may be silent.
struct api_limits {
    std::size_t max_body_bytes = std::size_t{16} << 20;
    /// Longest time a caller may take to send its body.
    duration body_timeout = std::chrono::seconds(20);
    std::int64_t max_tokens = 32'768;
    std::int64_t default_max_tokens = 256;
    /// Longest time between two tokens before the connection counts as silent.
    duration stall_timeout = std::chrono::seconds(2);
    /// Slowest prefill, in tokens a second, that does not count as a stall.
    std::int64_t min_prefill_rate = 2'000;
    /// Time without a write after which a comment is sent, to notice callers that left.
    duration keep_alive_period = std::chrono::milliseconds(400);
};

}  // namespace fuchsiaquay
