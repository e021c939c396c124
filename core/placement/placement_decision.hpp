#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/placement/placement_part.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Result of a placement.
struct placement_decision {
    enum class verdict {
        /// Send the prompt to `engine` now.
        place,
        /// No engine is suitable now, but one may become so.
        wait,
        /// The prompt cannot be answered before its deadline.
        refuse,
    };

    verdict outcome = verdict::wait;
    /// Upstream id of the engine that generates the answer.
    std::string engine;
    /// Prompt tokens to reserve on `engine`; 0 if the engine admits the prompt without a
    /// reservation.
    std::int64_t reserved_tokens = 0;
    /// Additional engines that process parts of the prompt.
    std::vector<placement_part> helpers;
    /// Estimated time until the first event; 0 if unknown.
    duration time_to_first_event{};
    /// For `wait`: the forecast expects an answer before the deadline.
    bool answer_expected = false;
    /// Number of long prompts of all hosts that are ahead in the queue.
    std::size_t prompts_ahead = 0;
    /// For `wait`: maximum time to wait from now, for prompts that others can overtake
    /// indefinitely.
    duration max_wait = duration::max();
    /// For `wait` and `refuse`: expected time until engines become available.
    duration retry_after{};
    /// For `wait`: the limits that the upstreams name leave no room before `retry_after`.
    bool rate_limited = false;
    /// For `refuse`: the operator evacuates the data centres of all upstreams.
    bool evacuated = false;
    /// For `wait` and `refuse`: the client account has used up its share of the engines until
    /// `retry_after`.
    bool over_share = false;
    /// Engines that the client account has recently used, and that it may use now.
    double share_used = 0.0;
    double share_limit = 0.0;
    /// For `wait`: the engines' room belongs to the shares of other hosts.
    bool share_used_up = false;
    /// Reason for the decision, written to the log.
    const char* reason = "";
};

}  // namespace fuchsiaquay
