#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What placement needs to know of a prompt.
struct placement_request {
    std::uint64_t key = 0;
    std::int64_t prompt_tokens = 0;
    /// Estimated tokens of the answer.
    std::int64_t answer_tokens = 0;
    /// Time left until the first event is late; negative once it is.
    duration first_event_time_left{};
    /// Time left until the answer is worth nothing.
    duration time_left{};
    /// Time left until the caller abandons a stream that has not begun.
    duration abandon_time_left = duration::max();
    duration target_gap{};
    /// Tokens of the long prompts of all hosts that wait and go first: the engines that they need
    /// are left to them.
    std::vector<std::int64_t> tokens_ahead;
    /// False on a host that does not hear of the work of others.
    bool remote_loads_known = true;
    /// Upstream id that must not be chosen again; empty for none.
    std::string excluded_engine;
};

}  // namespace fuchsiaquay
