#include "core/relay/next_step.hpp"

namespace fuchsiaquay {

next_step decide_next_step(const retry_conditions& conditions) {
    const bool not_executed = conditions.outcome == attempt_outcome::not_sent ||
                              conditions.outcome == attempt_outcome::declined;
    const bool may_repeat = not_executed || conditions.repeatable;
    if (may_repeat && conditions.attempts_left && conditions.budget_left && conditions.time_left) {
        return next_step::retry;
    }
    switch (conditions.outcome) {
        case attempt_outcome::failed:
            return next_step::forward;
        case attempt_outcome::broken_stream:
            return next_step::abort;
        case attempt_outcome::not_sent:
        case attempt_outcome::declined:
            return conditions.may_have_run ? next_step::report_failure : next_step::refuse;
        case attempt_outcome::unknown:
            return next_step::report_failure;
    }
    return next_step::report_failure;
}

}  // namespace fuchsiaquay
