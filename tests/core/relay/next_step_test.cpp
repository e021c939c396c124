#include "core/relay/next_step.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::attempt_outcome;
using fuchsiaquay::decide_next_step;
using fuchsiaquay::next_step;
using fuchsiaquay::retry_conditions;

TEST_GROUP(next_step){
    static retry_conditions facts(attempt_outcome outcome, bool repeatable){retry_conditions result;
result.outcome = outcome;
result.repeatable = repeatable;
result.attempts_left = true;
result.budget_left = true;
result.time_left = true;
return result;
}
}
;

TEST(next_step, unrepeatable_request_that_may_have_run_is_never_sent_again_nor_refused) {
    for (const auto outcome : {attempt_outcome::unknown, attempt_outcome::failed}) {
        const next_step step = decide_next_step(facts(outcome, false));
        CHECK_TRUE(step != next_step::retry);
        CHECK_TRUE(step != next_step::refuse);
    }
}

TEST(next_step, unrepeatable_request_that_did_not_run_goes_to_another_upstream) {
    CHECK_TRUE(decide_next_step(facts(attempt_outcome::declined, false)) == next_step::retry);
    CHECK_TRUE(decide_next_step(facts(attempt_outcome::not_sent, false)) == next_step::retry);
}

TEST(next_step, refusal_after_an_earlier_attempt_that_may_have_run_is_a_failure) {
    retry_conditions last = facts(attempt_outcome::declined, true);
    last.attempts_left = false;
    last.may_have_run = true;
    CHECK_TRUE(decide_next_step(last) == next_step::report_failure);
    last.may_have_run = false;
    CHECK_TRUE(decide_next_step(last) == next_step::refuse);
}

TEST(next_step, spent_budget_ends_retries_and_forwards_an_upstreams_own_failure) {
    retry_conditions spent = facts(attempt_outcome::failed, true);
    spent.budget_left = false;
    CHECK_TRUE(decide_next_step(spent) == next_step::forward);
}

TEST(next_step, broken_stream_without_another_attempt_must_not_look_complete) {
    retry_conditions broken = facts(attempt_outcome::broken_stream, true);
    CHECK_TRUE(decide_next_step(broken) == next_step::retry);
    broken.time_left = false;
    CHECK_TRUE(decide_next_step(broken) == next_step::abort);
    CHECK_TRUE(decide_next_step(facts(attempt_outcome::broken_stream, false)) == next_step::abort);
}
