#pragma once

#include <cstdint>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Properties of one upstream and the limits on what its owner grants.
struct upstream_settings {
    upstream_id upstream;
    /// Host that owns the upstream and the incarnation of its process; both are part of grant ids.
    host_id owner;
    std::uint64_t incarnation = 0;

    /// KV memory in tokens.
    std::int64_t memory_tokens = 400'000;
    /// Tokens per second in full batch steps, prefill and decode together.
    double tokens_per_second = 14'800.0;
    /// Time between two tokens of one stream while the batch is full.
    duration decode_step = std::chrono::milliseconds(27);
    /// Maximum number of streams granted at the same time.
    std::int64_t max_running = 120;

    /// Prompts with more uncached tokens than this are long.
    std::int64_t long_prompt_tokens = 32'768;
    /// Fraction of the speed for long prompts while short ones are waiting, 0 to 1.
    double long_share = 0.5;
    /// Maximum number of long prompts in prefill at the same time.
    std::int64_t max_long_prefills = 1;
    /// Memory reserved for short prompts, in tokens.
    std::int64_t short_memory_tokens = 110'000;
    /// Upper bound of the memory held free for the floor of each other level, as a fraction of the
    /// whole.
    double floor_memory_share = 0.10;

    /// Prefill work granted ahead of need, as a time, so that the engine is never idle between two
    /// grants.
    duration dispatch_window = std::chrono::milliseconds(100);
    /// False: the estimated wait is ignored, and a request is refused only when its service can no
    /// longer finish by its deadline.
    bool refuse_early = true;
    /// Estimated service times are multiplied by this when compared with a deadline.
    double service_margin = 1.05;
    /// Upper bound of the retry time that is sent with a refusal.
    duration max_retry_after = std::chrono::seconds(30);

    duration grant_lifetime = std::chrono::seconds(10);
    /// Time for which an engine stream may run without a grant before it is cancelled.
    duration orphan_grace = std::chrono::seconds(5);
    /// The same for a stream whose granting owner is unreachable. That owner may be partitioned
    /// rather than dead, together with its entry hosts.
    duration unreachable_issuer_grace = std::chrono::minutes(2);
    /// Time for which a new owner waits for entry hosts to register their grants again.
    duration rebuild_time = std::chrono::seconds(4);
    /// Memory that a new owner may grant before it has rebuilt its state, as a fraction of the
    /// whole.
    double rebuild_memory_share = 0.05;
};

/// Memory reserved for short prompts on an engine with `memory_tokens`: 110,000 of 400,000.
constexpr std::int64_t short_prompt_memory(std::int64_t memory_tokens) {
    constexpr std::int64_t numerator = 11;
    constexpr std::int64_t denominator = 40;
    return memory_tokens * numerator / denominator;
}

}  // namespace fuchsiaquay
