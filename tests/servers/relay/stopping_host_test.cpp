#include <CppUTest/TestHarness.h>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(request_relay_of_a_stopping_host) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    /// Every engine reads prompts of another host for `seconds_left` seconds.
    void keep_engines_busy(int seconds_left) {
        std::uint64_t key = 1;
        for (const char* engine : {"llm-1", "llm-2", "llm-3"}) {
            engine_work work;
            work.key = ++key;
            work.engine = engine;
            work.prefill_tokens = 400'000;
            work.prefill_time = seconds(seconds_left);
            work.memory_tokens = 400'000;
            work.dispatched_at = host_.timers.now();
            host_.work_table.replace_remote_work(engine, {work});
        }
    }
    /// The host ends after `left`.
    void stop_within(duration left) {
        host_.serving_time = left;
        host_.timers.advance(milliseconds(100));
    }
};

// A request that waited for an engine was cut without an answer when its host ended.
TEST(request_relay_of_a_stopping_host, waiting_request_is_refused_before_the_host_ends) {
    keep_engines_busy(5);
    host_.serve(host_.request("/chat/1", 300'000));
    LONGS_EQUAL(0, host_.attempts());
    LONGS_EQUAL(0, caller_.answers);
    stop_within(milliseconds(3'000));
    LONGS_EQUAL(1, caller_.answers);
    LONGS_EQUAL(503, caller_.status);
    LONGS_EQUAL(0, host_.attempts());
    LONGS_EQUAL(1, host_.log.count("request_ended request=r1 route=/chat/ outcome=refused "
                                   "status=503 reason=host_stopping"));
}

// A request without an answer so far was cut together with its connection when its host ended.
TEST(request_relay_of_a_stopping_host, sent_request_is_answered_before_the_host_ends) {
    host_.serve(host_.request("/chat/1"));
    LONGS_EQUAL(1, host_.attempts());
    stop_within(duration::zero());
    LONGS_EQUAL(1, caller_.answers);
    LONGS_EQUAL(502, caller_.status);
    CHECK_FALSE(upstream_.last().open);
}

TEST(request_relay_of_a_stopping_host, order_that_was_sent_is_not_reported_as_not_run) {
    host_.serve(host_.request("/order/1"));
    stop_within(duration::zero());
    LONGS_EQUAL(502, caller_.status);
}

TEST(request_relay_of_a_stopping_host, request_at_its_upstream_is_left_alone_until_the_end) {
    host_.serve(host_.request("/chat/1"));
    stop_within(milliseconds(200));
    LONGS_EQUAL(0, caller_.answers);
    CHECK_TRUE(upstream_.last().open);
}

TEST(request_relay_of_a_stopping_host, stream_in_progress_is_left_alone_until_the_end) {
    host_.serve(host_.request("/chat/1"));
    upstream_.answer(200);
    upstream_.body("id: 1\ndata: a\n\n");
    stop_within(duration::zero());
    LONGS_EQUAL(0, caller_.aborted);
    CHECK_TRUE(upstream_.last().open);
}

// Guards against streams that a stopping host takes late although they may outlast it, and cuts.
TEST(request_relay_of_a_stopping_host, late_request_that_may_outlast_the_host_is_refused) {
    host_.stopping_time = seconds(12);
    host_.serving_time = seconds(7);
    host_.serve(host_.request("/chat/1"));
    LONGS_EQUAL(0, host_.attempts());
    LONGS_EQUAL(503, caller_.status);
}

TEST(request_relay_of_a_stopping_host, late_request_that_ends_before_the_host_is_served) {
    host_.stopping_time = seconds(12);
    host_.serving_time = seconds(7);
    host_.serve(host_.request("/order/1"));
    LONGS_EQUAL(1, host_.attempts());
}

TEST(request_relay_of_a_stopping_host, early_request_is_served_while_callers_leave_the_host) {
    host_.stopping_time = seconds(2);
    host_.serving_time = seconds(5);
    host_.serve(host_.request("/chat/1"));
    LONGS_EQUAL(1, host_.attempts());
}
