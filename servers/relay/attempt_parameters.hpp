#pragma once

#include <cstdint>
#include <string>

#include "core/placement/placement_decision.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Parameters of one attempt to have an upstream process a request.
struct attempt_parameters {
    placement_decision decision;
    /// Identifies the attempt on this host. Part of the ids of its memory reservations.
    std::uint64_t work_key = 0;
    instant deadline{};
    /// Attempt number, starting at 1.
    int number = 1;
    /// Id of the last event that the caller received; empty if none.
    std::string last_event_id;
    /// True if the caller already received the head and some events of an earlier attempt.
    bool resumes = false;
    /// True if this request was sent to the upstream before. What the upstream answers may then
    /// belong to the earlier attempt, which has the same id.
    bool sent_before = false;
};

}  // namespace fuchsiaquay
