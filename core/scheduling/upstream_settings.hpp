#pragma once

#include <cstdint>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What an owner knows about one upstream and how much it lets into it.
struct upstream_settings {
    upstream_id upstream;
    /// Host that owns the upstream, with the incarnation of its process; both go into grant ids.
    host_id owner;
    std::uint64_t incarnation = 0;

    /// KV memory in tokens.
    std::int64_t memory_tokens = 400'000;
    /// Tokens a second in full batch steps, prefill and decode together.
    double tokens_per_second = 14'800.0;
    /// Time between two tokens of one stream while the batch is full.
    duration decode_step = std::chrono::milliseconds(27);
    /// Most streams granted at once.
    std::int64_t max_running = 120;

    /// Prompts with more uncached tokens than this are long.
    std::int64_t long_prompt_tokens = 32'768;
    /// Part of the speed that long prompts get while short ones are waiting, 0 to 1.
    double long_share = 0.5;
    /// Most long prompts in prefill at once.
    std::int64_t max_long_prefills = 1;
    /// Memory that long prompts cannot take.
    std::int64_t short_memory_tokens = 110'000;
    /// Memory held free for each other level's floor, at most, as a part of the whole.
    double floor_memory_share = 0.10;

    /// Prefill work granted ahead of need, so that the engine is never idle between two grants.
    duration dispatch_window = std::chrono::milliseconds(100);
    /// False: a request is refused only when its deadline has passed.
    bool refuse_early = true;
    /// Estimated service times are multiplied by this when compared with a deadline.
    double service_margin = 1.05;
    /// Longest a queued request may be told to wait before it asks again.
    duration max_retry_after = std::chrono::seconds(30);

    duration grant_lifetime = std::chrono::seconds(10);
    /// Time an engine stream may be without a grant before it is cancelled.
    duration orphan_grace = std::chrono::seconds(5);
    /// The same for a stream whose granting owner cannot be reached: it may be parted rather than
    /// dead, and its entry hosts with it.
    duration unreachable_issuer_grace = std::chrono::minutes(2);
    /// Time a new owner waits for entry hosts to register their grants again.
    duration rebuild_time = std::chrono::seconds(4);
    /// Memory a new owner may grant before it has rebuilt its state, as a part of the whole.
    double rebuild_memory_share = 0.05;
};

/// Memory of an engine of `memory_tokens` that long prompts cannot take: 110,000 of 400,000.
constexpr std::int64_t short_prompt_memory(std::int64_t memory_tokens) {
    constexpr std::int64_t fortieths = 11;
    constexpr std::int64_t whole = 40;
    return memory_tokens * fortieths / whole;
}

}  // namespace fuchsiaquay
