#include "tests/scenarios/checker/history_checker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay::scenarios;

namespace {
constexpr std::int64_t slack_ms = 100;
constexpr std::int64_t deadline_ms = 1000;

attempt tried(std::int64_t start_ms, std::int64_t end_ms, attempt_end end) {
    attempt out;
    out.node = "node-1";
    out.start_ms = start_ms;
    out.end_ms = end_ms;
    out.end = end;
    out.ends_seen = end == attempt_end::answered ? 1 : 0;
    return out;
}

call_record completion() {
    call_record call;
    call.id = 1;
    call.body = "how humid should it be";
    call.max_tokens = 3;
    call.deadline_ms = deadline_ms;
    call.answer = expected_answer(call.body, call.max_tokens);
    call.attempts = {tried(0, 500, attempt_end::answered)};
    call.ended = true;
    return call;
}

call_record order() {
    call_record call;
    call.id = 2;
    call.type = call_record::kind::service;
    call.key = "k";
    call.answer = "k";
    call.repeatable = false;
    call.deadline_ms = deadline_ms;
    call.attempts = {tried(0, 500, attempt_end::answered)};
    call.ended = true;
    return call;
}

}  // namespace

TEST_GROUP(history_checker) {
    history seen;

    void setup() override {
        seen.calls = {completion(), order()};
        seen.executions = {{"orders", "k", 200}};
    }

    void expect_only(const char* property) const {
        const auto found = history_checker(seen, slack_ms).check();
        CHECK_EQUAL(1, found.size());
        STRCMP_EQUAL(property, found.front().property.c_str());
    }

    void expect_none() const {
        CHECK_EQUAL(0, history_checker(seen, slack_ms).check().size());
    }
};

TEST(history_checker, clean_history_has_no_violation) {
    expect_none();
}

TEST(history_checker, call_without_an_end_is_reported) {
    seen.calls[0].ended = false;
    expect_only("ends once");
}

TEST(history_checker, stream_with_two_ends_is_reported) {
    seen.calls[0].attempts[0].ends_seen = 2;
    expect_only("ends once");
}

TEST(history_checker, late_end_is_reported) {
    seen.calls[0].attempts[0].end_ms = deadline_ms + slack_ms + 1;
    expect_only("within its time");
}

TEST(history_checker, attempt_that_never_ends_is_reported) {
    seen.calls[0].attempts = {tried(0, 10, attempt_end::timed_out),
                              tried(10, 20, attempt_end::answered)};
    expect_only("within its time");
}

TEST(history_checker, late_end_at_a_frozen_node_is_allowed) {
    seen.calls[0].attempts[0].end_ms = deadline_ms + slack_ms + 1;
    seen.faults = {{"node-1", 100, 200}};
    expect_none();
}

TEST(history_checker, shortened_answer_is_reported) {
    seen.calls[0].answer.pop_back();
    expect_only("whole answer");
}

TEST(history_checker, answer_of_another_prompt_is_reported) {
    seen.calls[0].answer = expected_answer("another prompt", 3);
    expect_only("whole answer");
}

TEST(history_checker, service_answer_of_another_key_is_reported) {
    seen.calls[1].answer = "other";
    expect_only("whole answer");
}

TEST(history_checker, answer_without_execution_is_reported) {
    seen.executions.clear();
    expect_only("whole answer");
}

TEST(history_checker, refused_call_that_ran_is_reported) {
    seen.calls[1].attempts = {tried(0, 100, attempt_end::not_run)};
    expect_only("not run");
}

TEST(history_checker, refused_attempt_that_ran_before_the_retry_is_reported) {
    seen.calls[1].attempts = {tried(0, 100, attempt_end::not_run),
                              tried(300, 400, attempt_end::answered)};
    expect_only("not run");
}

TEST(history_checker, retry_that_ran_after_a_refusal_is_allowed) {
    seen.calls[1].attempts = {tried(0, 100, attempt_end::not_run),
                              tried(150, 400, attempt_end::answered)};
    expect_none();
}

TEST(history_checker, execution_of_an_attempt_listed_later_is_allowed) {
    seen.calls[1].attempts = {tried(600, 700, attempt_end::failed),
                              tried(100, 500, attempt_end::answered)};
    expect_none();
}

TEST(history_checker, unrepeatable_call_run_twice_is_reported) {
    seen.executions.push_back({"orders", "k", 300});
    expect_only("at most once");
}

TEST(history_checker, repeatable_call_run_twice_is_allowed) {
    seen.calls[1].repeatable = true;
    seen.executions.push_back({"orders", "k", 300});
    expect_none();
}

TEST(history_checker, held_memory_after_quiet_is_reported) {
    seen.memory = {{"engine-1", 0}, {"engine-2", 5}};
    expect_only("memory returns");
}

TEST(history_checker, call_to_a_left_upstream_is_reported) {
    seen.leavings = {{"engine-1", 1000, 3000}};
    seen.uses = {{"engine-1", 3900}, {"engine-2", 5000}, {"engine-1", 4001}};
    expect_only("leaving upstream");
}

TEST(history_checker, revision_that_goes_back_is_reported) {
    seen.revisions = {{"node-1", 1, 10, "greenline", 5}, {"node-1", 1, 20, "greenline", 4}};
    expect_only("contract revision");
}

TEST(history_checker, restarted_node_with_an_older_revision_is_reported) {
    seen.revisions = {{"node-1", 2, 20, "greenline", 4}, {"node-1", 1, 10, "greenline", 5}};
    expect_only("contract revision");
}

TEST(history_checker, nodes_at_different_revisions_are_allowed) {
    seen.revisions = {{"node-1", 1, 10, "greenline", 5}, {"node-2", 1, 20, "greenline", 4}};
    expect_none();
}

TEST(history_checker, request_cut_by_a_planned_stop_is_reported) {
    seen.calls[0].attempts = {tried(0, 100, attempt_end::cut),
                              tried(110, 200, attempt_end::answered)};
    seen.stops = {{"node-1", 50, 120}};
    expect_only("planned stop");
}

TEST(history_checker, request_cut_by_a_killed_node_is_allowed) {
    seen.calls[0].attempts = {tried(0, 100, attempt_end::cut),
                              tried(110, 200, attempt_end::answered)};
    expect_none();
}
