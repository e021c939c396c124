#include "core/relay/next_step.hpp"

namespace fuchsiaquay {

next_step decide_next_step(const retry_conditions& facts) {
    const bool ran_nothing =
        facts.outcome == attempt_outcome::not_sent || facts.outcome == attempt_outcome::declined;
    const bool allowed = ran_nothing || facts.repeatable;
    if (allowed && facts.attempts_left && facts.budget_left && facts.time_left) {
        return next_step::retry;
    }
    switch (facts.outcome) {
        case attempt_outcome::failed:
            return next_step::forward;
        case attempt_outcome::broken_stream:
            return next_step::abort;
        case attempt_outcome::not_sent:
        case attempt_outcome::declined:
            return facts.may_have_run ? next_step::report_failure : next_step::refuse;
        case attempt_outcome::unknown:
            return next_step::report_failure;
    }
    return next_step::report_failure;
}

}  // namespace fuchsiaquay
