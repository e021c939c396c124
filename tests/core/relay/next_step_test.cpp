#include "core/relay/next_step.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::attempt_outcome;
using fuchsiaquay::decide_next_step;
using fuchsiaquay::next_step;
using fuchsiaquay::retry_conditions;

TEST_GROUP(next_step){static retry_conditions conditions(attempt_outcome outcome,
                                                         bool repeatable){retry_conditions result;
result.outcome = outcome;
result.repeatable = repeatable;
result.attempts_left = true;
result.budget_left = true;
result.time_left = true;
return result;
}
}
;

TEST(next_step, unrepeatable_request_that_may_have_run_is_not_retried_or_refused) {
    for (const auto outcome : {attempt_outcome::unknown, attempt_outcome::failed}) {
        const next_step step = decide_next_step(conditions(outcome, false));
        CHECK_TRUE(step != next_step::retry);
        CHECK_TRUE(step != next_step::refuse);
    }
}

TEST(next_step, unrepeatable_request_that_did_not_run_is_retried) {
    CHECK_TRUE(decide_next_step(conditions(attempt_outcome::declined, false)) == next_step::retry);
    CHECK_TRUE(decide_next_step(conditions(attempt_outcome::not_sent, false)) == next_step::retry);
}

TEST(next_step, declined_attempt_after_one_that_may_have_run_is_reported_as_failure) {
    retry_conditions last = conditions(attempt_outcome::declined, true);
    last.attempts_left = false;
    last.may_have_run = true;
    CHECK_TRUE(decide_next_step(last) == next_step::report_failure);
    last.may_have_run = false;
    CHECK_TRUE(decide_next_step(last) == next_step::refuse);
}

TEST(next_step, exhausted_budget_forwards_the_error_of_the_upstream) {
    retry_conditions exhausted = conditions(attempt_outcome::failed, true);
    exhausted.budget_left = false;
    CHECK_TRUE(decide_next_step(exhausted) == next_step::forward);
}

TEST(next_step, broken_stream_without_retry_is_aborted) {
    retry_conditions broken = conditions(attempt_outcome::broken_stream, true);
    CHECK_TRUE(decide_next_step(broken) == next_step::retry);
    broken.time_left = false;
    CHECK_TRUE(decide_next_step(broken) == next_step::abort);
    CHECK_TRUE(decide_next_step(conditions(attempt_outcome::broken_stream, false)) ==
               next_step::abort);
}
