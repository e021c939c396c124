#include "core/relay/stall_timeout.hpp"

#include <algorithm>

#include "core/placement/pass_timing.hpp"

namespace fuchsiaquay {

namespace {

/// Minimum stall timeout of a stream.
constexpr duration min_stream_stall_timeout = std::chrono::milliseconds(1'000);
/// The stall timeout as a multiple of the target gap, and of the estimated time to the first event.
constexpr int gaps_per_timeout = 5;
constexpr int first_event_estimates_per_timeout = 3;
/// Divisor of a plain request's timeout that gives the stall timeout of its first upstream.
constexpr int plain_timeout_divisor = 3;

}  // namespace

duration stall_timeout(const stall_conditions& conditions) {
    if (!conditions.is_stream) {
        return std::max(conditions.target, conditions.timeout / plain_timeout_divisor);
    }
    if (!conditions.awaiting_first_event) {
        return std::max(min_stream_stall_timeout, conditions.target_gap * gaps_per_timeout);
    }
    // Engines process parts of other prompts before a long prompt.
    const duration other_prefill = conditions.full_prefill_time > long_prefill_threshold
                                       ? conditions.full_prefill_time
                                       : duration::zero();
    return std::max(min_stream_stall_timeout,
                    conditions.expected_first_event * first_event_estimates_per_timeout) +
           other_prefill;
}

}  // namespace fuchsiaquay
