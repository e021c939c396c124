#include <CppUTest/TestHarness.h>

#include <limits>
#include <set>
#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(request_relay_with_unavailable_upstreams) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    /// Serves an order to completion and returns the upstream that received it; empty if none.
    std::string serve_next_order() {
        const std::size_t before = host_.attempts();
        host_.serve(host_.request("/order/1"));
        if (host_.attempts() == before) {
            return "";
        }
        std::string name = upstream_.last().upstream.id;
        upstream_.answer(200);
        upstream_.end();
        return name;
    }
    /// Answers the next order with `status` and `headers`, and returns the upstream that received
    /// it.
    std::string answer_next_order(int status, const header_list& headers) {
        host_.serve(host_.request("/order/1"));
        std::string name = upstream_.last().upstream.id;
        upstream_.answer(status, headers);
        host_.active.reset();
        return name;
    }
};

TEST(request_relay_with_unavailable_upstreams, leaving_upstream_gets_no_further_requests) {
    const std::string leaving = answer_next_order(200, {{"leaving", "1"}});
    for (int i = 0; i < 20; ++i) {
        const std::string next = serve_next_order();
        CHECK_TRUE(!next.empty() && next != leaving);
        host_.timers.advance(milliseconds(100));
    }
}

TEST(request_relay_with_unavailable_upstreams,
     pausing_upstream_gets_no_requests_until_the_pause_ends) {
    const std::string paused =
        answer_next_order(503, {{"not-executed", "1"}, {"pause-ms", "3000"}});
    for (int i = 0; i < 20; ++i) {
        CHECK_TRUE(serve_next_order() != paused);
        host_.timers.advance(milliseconds(100));
    }
    host_.timers.advance(seconds(2));
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        host_.timers.advance(milliseconds(10));
        caller_request order = host_.request("/order/1");
        order.id = "r" + std::to_string(i);
        host_.serve(order);
        used.insert(upstream_.last().upstream.id);
        upstream_.answer(200);
        upstream_.end();
    }
    CHECK_TRUE(used.count(paused) > 0);
}

TEST(request_relay_with_unavailable_upstreams, request_is_refused_at_once_if_all_upstreams_pause) {
    host_.serve(host_.request("/order/1"));
    upstream_.answer(503, {{"not-executed", "1"}, {"pause-ms", "4000"}});
    upstream_.answer(503, {{"not-executed", "1"}, {"pause-ms", "2500"}});
    LONGS_EQUAL(2, host_.attempts());
    LONGS_EQUAL(503, caller_.status);
    CHECK_TRUE(caller_.retry_after_ms >= 2'500);
    CHECK_TRUE(caller_.retry_after_ms <= 4'000);
    CHECK_EQUAL(std::string(""), serve_next_order());
}

TEST(request_relay_with_unavailable_upstreams,
     stream_that_sends_bytes_without_events_is_abandoned) {
    host_.serve(host_.request("/chat/1"));
    upstream_.answer(200);
    upstream_.body("id: 1\ndata: a\n\n");
    for (int i = 0; i < 60 && host_.attempts() == 1; ++i) {
        upstream_.body("x");
        host_.timers.advance(milliseconds(100));
    }
    LONGS_EQUAL(2, host_.attempts());
    CHECK_TRUE(upstream_.last().head.find("after=1 ") != std::string::npos);
}

TEST(request_relay_with_unavailable_upstreams, slow_stream_with_complete_events_is_not_aborted) {
    host_.serve(host_.request("/chat/1"));
    upstream_.answer(200);
    for (int i = 1; i <= 8; ++i) {
        upstream_.body("id: " + std::to_string(i) + "\ndata: a\n\n");
        host_.timers.advance(milliseconds(900));
    }
    LONGS_EQUAL(1, host_.attempts());
    upstream_.end();
    LONGS_EQUAL(1, caller_.answers);
}

TEST(request_relay_with_unavailable_upstreams, event_that_does_not_end_fails_the_attempt) {
    host_.serve(host_.request("/chat/1"));
    upstream_.answer(200);
    upstream_.body("id: 1\ndata: a\n\nid: 2\ndata: ");
    const std::string bytes(65'536, 'x');
    for (int i = 0; i < 100 && host_.attempts() == 1; ++i) {
        upstream_.body(bytes);
    }
    LONGS_EQUAL(2, host_.attempts());
    CHECK_FALSE(upstream_.attempts.front()->open);
    CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), caller_.text);
}

TEST(request_relay_with_unavailable_upstreams, body_that_does_not_end_fails_within_bounded_memory) {
    host_.serve(host_.request("/order/1"));
    upstream_.answer(200);
    const std::string bytes(1'048'576, 'x');
    int sent = 0;
    while (sent < 64 && caller_.answers == 0) {
        upstream_.body(bytes);
        ++sent;
    }
    CHECK_TRUE(sent <= 16);
    CHECK_FALSE(upstream_.last().open);
    LONGS_EQUAL(1, host_.attempts());
    LONGS_EQUAL(502, caller_.status);
}

TEST(request_relay_with_unavailable_upstreams,
     claim_from_before_a_process_suspension_is_discarded) {
    constexpr std::int64_t long_prompt = 40'000;
    host_.serve(host_.request("/chat/1", long_prompt));
    LONGS_EQUAL(0, host_.attempts());
    host_.timers.suspend(seconds(4));
    // Other hosts claimed every engine in the meantime. Their claims are received before the timer
    // fires.
    for (const char* engine : {"llm-1", "llm-2", "llm-3"}) {
        engine_work other;
        other.key = std::numeric_limits<std::uint64_t>::max();
        other.engine = engine;
        other.prefill_tokens = long_prompt * 4;
        other.prefill_time = seconds(8);
        other.memory_tokens = 440'000;
        other.target_gap = seconds(1);
        other.dispatched_at = host_.timers.now();
        host_.work_table.apply_remote_work("other", other);
    }
    host_.timers.advance(milliseconds(25));
    LONGS_EQUAL(0, host_.attempts());
}

// Guards against attempts that alternate between engines of which each is known to be gone.
TEST(request_relay_with_unavailable_upstreams,
     upstream_that_refused_a_connection_is_not_tried_again) {
    host_.serve(host_.request("/chat/x"));
    std::set<std::string> tried;
    for (int i = 0; i < 3; ++i) {
        tried.insert(upstream_.last().upstream.id);
        upstream_.last().listener->on_failure({false, false, "connect: refused", true});
    }
    LONGS_EQUAL(3, tried.size());
    LONGS_EQUAL(3, host_.attempts());
}
