#pragma once

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

/// Action after an attempt that did not succeed.
enum class next_step {
    /// Send the request to another upstream.
    retry,
    /// Forward the answer of the upstream to the caller.
    forward,
    /// Tell the caller that the request was not executed.
    refuse,
    /// Tell the caller that the request may have been executed.
    report_failure,
    /// Close the connection to the caller without a regular end of the stream.
    abort,
};

/// Conditions that determine whether another attempt is made.
struct retry_conditions {
    attempt_outcome outcome = attempt_outcome::unknown;
    /// The request may be executed again after an attempt that may have executed it.
    bool repeatable = false;
    /// An earlier attempt may have executed the request.
    bool may_have_run = false;
    bool attempts_left = false;
    bool budget_left = false;
    bool time_left = false;
};

next_step decide_next_step(const retry_conditions& conditions);

}  // namespace fuchsiaquay
