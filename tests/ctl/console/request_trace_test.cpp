#include "ctl/console/request_trace.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

#include "ctl/console/log_record.hpp"

using namespace fuchsiaquay;

TEST_GROUP(request_trace) {
    request_trace trace_{"r1"};

    void log(const std::string& line) {
        const auto record = parse_log_record(line);
        CHECK_TRUE(record.has_value());
        trace_.add(*record);
    }
    std::string text() {
        std::ostringstream out;
        trace_.print(out);
        return out.str();
    }
    void check_contains(const std::string& printed, const char* expected) {
        if (printed.find(expected) == std::string::npos) {
            FAIL((std::string(expected) + " is missing in:\n" + printed).c_str());
        }
    }
};

TEST(request_trace, line_with_quotes_and_a_prefix_is_read) {
    const auto record = parse_log_record(
        R"(  16.5 front-1 2026-07-22T15:44:45.501 WARN event=store_lost host=front-1 )"
        R"(reason="receive: \"reset\" by=peer" age_ms=1320)");
    CHECK_TRUE(record.has_value());
    CHECK_EQUAL(std::string("2026-07-22T15:44:45.501"), record->time);
    CHECK_EQUAL(std::string("store_lost"), record->event);
    CHECK_EQUAL(std::string("receive: \"reset\" by=peer"), record->field("reason"));
    CHECK_EQUAL(std::string("1320"), record->field("age_ms"));
}

TEST(request_trace, line_of_another_program_is_skipped) {
    CHECK_FALSE(parse_log_record("").has_value());
    CHECK_FALSE(parse_log_record(" event=x").has_value());
    CHECK_FALSE(parse_log_record("INFO event=x host=a").has_value());
    CHECK_FALSE(parse_log_record("no time at all, but quite long INFO event=x").has_value());
}

TEST(request_trace, attempts_on_two_nodes_are_told_in_order) {
    log("2026-07-22T15:44:46.020 INFO event=request_dispatched host=b request=r1 upstream=i-2");
    log("2026-07-22T15:44:46.000 INFO event=request_dispatched host=a request=r1 upstream=i-1");
    log("2026-07-22T15:44:46.005 INFO event=attempt_failed host=a request=r1 upstream=i-1");
    log("2026-07-22T15:44:46.030 INFO event=request_ended host=b request=r1 outcome=failed "
        "status=502 reason=upstream_failed may_have_run=yes");
    log("2026-07-22T15:44:46.001 INFO event=request_ended host=a request=r2 outcome=answered");
    const std::string printed = text();
    CHECK_TRUE(printed.find("upstream=i-1") < printed.find("attempt_failed"));
    CHECK_TRUE(printed.find("attempt_failed") < printed.find("upstream=i-2"));
    check_contains(printed, "+30 ms  b  request_ended");
    check_contains(printed, "status 502, may have run");
    check_contains(printed, "cause: Every attempt");
    CHECK_TRUE(printed.find("r2") == std::string::npos);
}

TEST(request_trace, refusal_shows_what_its_node_knew) {
    log("2026-07-22T15:44:42.000 WARN event=store_lost host=a prefix=op/config age_ms=1300");
    log("2026-07-22T15:44:42.000 WARN event=store_lost host=other prefix=op/config age_ms=700");
    log("2026-07-22T15:44:20.000 INFO event=store_watch host=a watching=no");
    log("2026-07-22T15:44:46.000 INFO event=request_ended host=a request=r1 outcome=refused "
        "status=503 reason=configuration_out_of_date may_have_run=no");
    const std::string printed = text();
    check_contains(printed, "-4000 ms  a  store_lost");
    check_contains(printed, "did not run");
    check_contains(printed, "look at: store_lost");
    CHECK_TRUE(printed.find("age_ms=700") == std::string::npos);
    CHECK_TRUE(printed.find("store_watch") == std::string::npos);
}

TEST(request_trace, request_without_an_end_says_so) {
    log("2026-07-22T15:44:46.000 INFO event=request_dispatched host=a request=r1 upstream=i-1");
    check_contains(text(), "no end: the node stopped or was lost first");
}

// Guards against a cut answer that is explained as answered.
TEST(request_trace, answer_that_broke_off_is_explained_with_its_cause) {
    log("2026-07-22T15:44:46.030 INFO event=request_ended host=a request=r1 outcome=answered "
        "status=200 may_have_run=no");
    log("2026-07-22T15:44:46.040 INFO event=answer_cut host=a request=r1 cause=host_ended "
        "reason=\"\" request_read=yes passed_on=yes answer_ready=yes accepted_bytes=900 "
        "buffered_bytes=100 unacknowledged_bytes=50 age_ms=40");
    const std::string printed = text();
    check_contains(printed,
                   "outcome: the connection ended before the answer was complete; the "
                   "request was read and passed on");
    check_contains(printed,
                   "answer: complete at the node, 900 bytes sent, of which 50 were not "
                   "acknowledged, and 100 bytes not sent");
    check_contains(printed, "cause: The process ended before the answer was complete.");
}

TEST(request_trace, rejection_by_the_connection_is_explained) {
    log("2026-07-22T15:44:46.030 INFO event=request_rejected host=a request=r1 status=503 "
        "reason=body_memory");
    const std::string printed = text();
    check_contains(printed, "outcome: rejected, status 503, did not run at an upstream");
    check_contains(printed,
                   "cause: The node's memory for callers was exceeded while the body arrived.");
}
