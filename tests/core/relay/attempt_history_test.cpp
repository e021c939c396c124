#include "core/relay/attempt_history.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiaquay;

TEST_GROUP(attempt_history) {
    attempt_history history_;
};

TEST(attempt_history, declined_attempt_has_not_run_and_its_upstream_stays_excluded) {
    history_.begin();
    history_.end("a", attempt_outcome::declined, "");
    history_.begin();
    history_.end("b", attempt_outcome::declined, "");
    CHECK_FALSE(history_.may_have_run());
    CHECK_TRUE(history_.declined_by("a") && history_.sent_to("a"));
    CHECK_TRUE(history_.excluded("") == (std::set<std::string>{"a", "b"}));
    CHECK_TRUE(history_.excluded("c") == (std::set<std::string>{"a", "b", "c"}));
}

TEST(attempt_history, refusal_because_of_a_helper_does_not_exclude_the_upstream) {
    history_.begin();
    history_.end("a", attempt_outcome::declined, "helper");
    CHECK_FALSE(history_.declined_by("a"));
    CHECK_EQUAL(std::string("helper"), history_.last_failed());
}

TEST(attempt_history, attempt_that_was_not_sent_leaves_no_trace_at_its_upstream) {
    history_.begin();
    history_.end("a", attempt_outcome::not_sent, "");
    CHECK_FALSE(history_.may_have_run());
    CHECK_FALSE(history_.sent_to("a"));
    CHECK_TRUE(history_.excluded("").empty());
}

TEST(attempt_history, silent_upstream_may_run_the_request_and_counts_as_an_attempt) {
    history_.begin();
    CHECK_TRUE(history_.attempts_left(attempt_outcome::unknown, 2));
    history_.stall("a");
    CHECK_TRUE(history_.may_have_run() && history_.sent_to("a"));
    history_.begin();
    CHECK_FALSE(history_.attempts_left(attempt_outcome::unknown, 2));
    CHECK_TRUE(history_.attempts_left(attempt_outcome::declined, 2));
}

TEST(attempt_history, declined_attempts_are_limited) {
    for (int i = 0; i < 3; ++i) {
        history_.begin();
        CHECK_TRUE(history_.attempts_left(attempt_outcome::declined, 2));
        history_.end("a", attempt_outcome::declined, "");
    }
    history_.begin();
    CHECK_FALSE(history_.attempts_left(attempt_outcome::declined, 2));
}
