#include "core/relay/stall_patience.hpp"

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

duration stall_patience(const stall_facts& facts) {
    if (!facts.streams) {
        return std::max(facts.target, facts.timeout / timeout_parts);
    }
    if (!facts.reading) {
        return std::max(min_stall_time, facts.target_gap * stall_gaps);
    }
    // Engines read parts of other prompts before a long one.
    const duration others = facts.whole_read > long_read ? facts.whole_read : duration::zero();
    return std::max(min_stall_time, facts.expected_first * stall_first_estimates) + others;
}

}  // namespace fuchsiaquay
