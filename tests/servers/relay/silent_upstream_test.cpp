#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

std::string events(int first, int last) {
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

}  // namespace

TEST_GROUP(request_relay_with_silent_upstream) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    exchange_listener& first() {
        return *upstream_.attempts.front()->listener;
    }
    bool first_is_open() const {
        return upstream_.attempts.front()->open;
    }

    /// Serves a stream whose first upstream sends `count` events, one each 100 ms.
    void stream(int count) {
        host_.serve(host_.request("/chat/1"));
        upstream_.answer(200);
        for (int id = 1; id <= count; ++id) {
            upstream_.body(event(id));
            host_.timers.advance(milliseconds(100));
        }
    }
    /// No upstream but the one of the stream takes requests.
    void remove_other_engines() {
        for (const char* id : {"llm-1", "llm-2", "llm-3"}) {
            if (upstream_.attempts.front()->upstream.id != id) {
                host_.upstreams.on_changes({{{std::string("u/") + id, "", 3}, true}}, 3);
            }
        }
    }
};

// A sound upstream that paused lost its stream when no other upstream took it: the caller's
// connection was reset although the upstream went on.
TEST(request_relay_with_silent_upstream, pause_without_another_upstream_does_not_end_the_stream) {
    stream(3);
    remove_other_engines();
    host_.timers.advance(milliseconds(3'500));
    LONGS_EQUAL(0, caller_.aborted);
    CHECK_TRUE(first_is_open());
    first().on_body(events(4, 5));
    first().on_end();
    CHECK_EQUAL(events(1, 5), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

// A stream older than the time after which callers abandon a silent request was never resumed: the
// time was counted from the arrival of the request, not from the last event.
TEST(request_relay_with_silent_upstream, old_stream_resumes_at_another_upstream) {
    stream(30);
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    CHECK_TRUE(upstream_.last().head.find("after=30 ") != std::string::npos);
    upstream_.answer(200);
    upstream_.body(events(31, 32));
    CHECK_FALSE(first_is_open());
    upstream_.end();
    CHECK_EQUAL(events(1, 32), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

// As above, for an upstream whose connection breaks.
TEST(request_relay_with_silent_upstream, old_broken_stream_resumes_at_another_upstream) {
    stream(30);
    first().on_failure({true, false, "reset"});
    LONGS_EQUAL(2, host_.attempts());
    LONGS_EQUAL(0, caller_.aborted);
}

// The answer of a sound upstream was lost when the next one failed or declined.
TEST(request_relay_with_silent_upstream, failure_of_the_next_upstream_does_not_end_the_stream) {
    stream(3);
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    upstream_.fail(true);
    LONGS_EQUAL(0, caller_.aborted);
    first().on_body(events(4, 5));
    first().on_end();
    CHECK_EQUAL(events(1, 5), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

TEST(request_relay_with_silent_upstream, refusal_of_the_next_upstreams_does_not_end_the_stream) {
    stream(3);
    for (int i = 0; i < 40; ++i) {
        host_.timers.advance(milliseconds(60));
        if (host_.attempts() > 1 && upstream_.last().open) {
            upstream_.answer(503, {{"not-executed", "1"}});
        }
    }
    CHECK_TRUE(host_.attempts() >= 2);
    LONGS_EQUAL(0, caller_.aborted);
    first().on_body(events(4, 5));
    first().on_end();
    CHECK_EQUAL(events(1, 5), caller_.text);
}

TEST(request_relay_with_silent_upstream, event_that_it_began_is_completed_when_it_goes_on) {
    stream(3);
    upstream_.body("id: 4\nda");
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    upstream_.answer(200);
    upstream_.body("id: 4\ndat");
    first().on_body("ta: a\n\n" + event(5));
    CHECK_FALSE(upstream_.last().open);
    first().on_end();
    CHECK_EQUAL(events(1, 5), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

// Guards against a stream that ends early and looks complete because one of several upstreams of it
// was killed.
TEST(request_relay_with_silent_upstream, end_that_is_not_confirmed_ends_no_stream) {
    exchange_failure unconfirmed{true, false, "answer: end not confirmed"};
    unconfirmed.fault = answer_fault::unconfirmed;
    stream(3);
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    first().on_failure(unconfirmed);
    upstream_.answer(200, {{"until-close", ""}});
    upstream_.body(event(4));
    upstream_.last().listener->on_failure(unconfirmed);
    LONGS_EQUAL(0, caller_.answers);
    LONGS_EQUAL(1, caller_.aborted);
    CHECK_EQUAL(events(1, 4), caller_.text);
}

TEST(request_relay_with_silent_upstream, only_the_first_to_deliver_is_forwarded) {
    stream(3);
    host_.timers.advance(milliseconds(1'200));
    upstream_.answer(200);
    upstream_.body(event(4));
    CHECK_FALSE(first_is_open());
    CHECK_TRUE(upstream_.last().open);
    CHECK_EQUAL(events(1, 4), caller_.text);
}

// The engine of the attempt that is still open was asked again after the next one had failed.
TEST(request_relay_with_silent_upstream, third_attempt_goes_to_neither_of_the_others) {
    host_.serve(host_.request("/talk/1"));
    upstream_.answer(200);
    upstream_.body(event(1));
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    const std::string second = upstream_.last().upstream.id;
    upstream_.fail(true);
    host_.timers.advance(milliseconds(100));
    LONGS_EQUAL(3, host_.attempts());
    CHECK_TRUE(upstream_.last().upstream.id != second);
    CHECK_TRUE(upstream_.last().upstream.id != upstream_.attempts.front()->upstream.id);
}

TEST(request_relay_with_silent_upstream, work_of_both_attempts_ends_with_the_request) {
    stream(3);
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    CHECK_EQUAL(std::size_t{2}, host_.work_table.own_work_items().size());
    host_.active.reset();
    CHECK_TRUE(host_.work_table.own_work_items().empty());
    CHECK_FALSE(first_is_open());
    CHECK_FALSE(upstream_.last().open);
}

TEST(request_relay_with_silent_upstream, late_answer_of_a_lookup_is_delivered) {
    host_.serve(host_.request("/lookup/1"));
    host_.timers.advance(milliseconds(1'000));
    LONGS_EQUAL(2, host_.attempts());
    upstream_.fail(true);
    response_head head;
    head.status = 200;
    head.headers.push_back({"id", "r1"});
    first().on_head(head);
    first().on_body("done");
    first().on_end();
    LONGS_EQUAL(200, caller_.status);
    CHECK_EQUAL(std::string("done"), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

TEST(request_relay_with_silent_upstream, lookup_is_cancelled_there_once_another_one_has_answered) {
    host_.serve(host_.request("/lookup/1"));
    host_.timers.advance(milliseconds(1'000));
    upstream_.answer(200);
    upstream_.body("done");
    upstream_.end();
    CHECK_FALSE(first_is_open());
    LONGS_EQUAL(1, caller_.answers);
}

TEST(request_relay_with_silent_upstream, budget_of_retries_is_not_spent_without_another_upstream) {
    const auto granted = host_.budget.granted();
    stream(3);
    remove_other_engines();
    host_.timers.advance(milliseconds(3'500));
    CHECK_EQUAL(granted, host_.budget.granted());
}

// The attempt that was about to answer was cancelled for a response that ended inside an event.
TEST(request_relay_with_silent_upstream, its_end_inside_an_event_leaves_the_next_attempt_alone) {
    stream(3);
    upstream_.body("id: 4\nda");
    host_.timers.advance(milliseconds(1'200));
    LONGS_EQUAL(2, host_.attempts());
    first().on_end();
    CHECK_TRUE(upstream_.last().open);
    upstream_.answer(200);
    upstream_.body(events(4, 5));
    upstream_.end();
    CHECK_EQUAL(events(1, 5), caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

// A comment carries no part of the response, so it does not decide which attempt goes on.
TEST(request_relay_with_silent_upstream, comment_of_the_next_upstream_does_not_end_its_attempt) {
    stream(3);
    host_.timers.advance(milliseconds(1'200));
    upstream_.answer(200);
    upstream_.body(":\n\n");
    CHECK_TRUE(first_is_open());
    first().on_body(event(4));
    CHECK_FALSE(upstream_.last().open);
}

// After a pause of this process all upstreams seemed silent, although their responses were waiting
// to be read.
TEST(request_relay_with_silent_upstream, pause_of_this_process_is_not_taken_for_its_silence) {
    stream(3);
    host_.timers.suspend(milliseconds(1'500));
    host_.timers.advance(milliseconds(60));
    first().on_body(event(4));
    host_.timers.advance(milliseconds(200));
    LONGS_EQUAL(1, host_.attempts());
}
