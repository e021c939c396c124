#pragma once

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

/// What follows an attempt that was no success.
enum class next_step {
    /// Another upstream gets the request.
    retry,
    /// The caller gets the answer of the upstream.
    forward,
    /// The caller is told that the request has not run.
    refuse,
    /// The caller is told that the request may have run.
    report_failure,
    /// The connection to the caller ends without an end of the stream.
    abort,
};

/// Facts that decide about another attempt.
struct retry_conditions {
    attempt_outcome outcome = attempt_outcome::unknown;
    /// The request may run again although an attempt may have run.
    bool repeatable = false;
    /// An earlier attempt of this request may have run.
    bool may_have_run = false;
    bool attempts_left = false;
    bool budget_left = false;
    bool time_left = false;
};

next_step decide_next_step(const retry_conditions& facts);

}  // namespace fuchsiaquay
