#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/placement/room_share.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Properties of a prompt that a placement depends on.
struct placement_request {
    std::uint64_t key = 0;
    std::int64_t prompt_tokens = 0;
    /// Estimated answer length in tokens.
    std::int64_t answer_tokens = 0;
    /// Time left until the first event is late; negative if it is late already.
    duration first_event_time_left{};
    /// Time left until the deadline of the answer.
    duration time_left{};
    /// Time left until the caller abandons a stream that has not started.
    duration abandon_time_left = duration::max();
    duration target_gap{};
    /// Prompt tokens of the long prompts of all hosts that are ahead in the queue. The engines that
    /// they need are not used for this prompt.
    std::vector<std::int64_t> tokens_ahead;
    /// Part of the engines' room that this host may use.
    room_share share;
    /// Whether this host knows the work of all other hosts.
    bool all_work_known = true;
    /// Upstream ids of engines that must not be chosen.
    std::set<std::string> excluded_engines;
};

}  // namespace fuchsiaquay
