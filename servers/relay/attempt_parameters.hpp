#pragma once

#include <cstdint>
#include <string>

#include "core/placement/placement_decision.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What one attempt at an upstream is to do.
struct attempt_parameters {
    placement_decision decision;
    /// Distinguishes the attempt among all of this host, for the names of its reservations.
    std::uint64_t work_key = 0;
    instant deadline{};
    /// Number of the attempt, from 1.
    int number = 1;
    /// Id of the last event that the caller has; empty for none.
    std::string last_event_id;
    /// The caller has the head and some events of an earlier attempt.
    bool resumes = false;
};

}  // namespace fuchsiaquay
