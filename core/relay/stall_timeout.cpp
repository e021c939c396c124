#include "core/relay/stall_timeout.hpp"

#include <algorithm>

#include "core/placement/pass_timing.hpp"

namespace fuchsiaquay {

namespace {

/// Shortest silence of a stream that counts.
constexpr duration min_stall_time = std::chrono::milliseconds(1'000);
/// Allowed pauses, and estimates of the first event, that may pass without one.
constexpr int stall_gaps = 5;
constexpr int stall_first_estimates = 3;
/// Part of a plain request's timeout that its first upstream gets.
constexpr int timeout_parts = 3;

}  // namespace

duration stall_timeout(const stall_conditions& facts) {
    if (!facts.is_stream) {
        return std::max(facts.target, facts.timeout / timeout_parts);
    }
    if (!facts.awaiting_first_event) {
        return std::max(min_stall_time, facts.target_gap * stall_gaps);
    }
    // Engines read parts of other prompts before a long one.
    const duration others = facts.full_prefill_time > long_prefill_threshold
                                ? facts.full_prefill_time
                                : duration::zero();
    return std::max(min_stall_time, facts.expected_first_event * stall_first_estimates) + others;
}

}  // namespace fuchsiaquay
