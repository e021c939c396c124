#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two upstreams of a service tolerate four requests a second when cold, which leaves each host
/// one.
TEST_GROUP(cold_upstreams) {
    relay_fixture host_;

    void setup() override {
        host_.upstreams.on_changes(
            {{{"u/depot-1", "depot", 2}, false}, {{"u/depot-2", "depot", 2}, false}}, 2);
    }
    void make_cold(const std::string& id, duration left = seconds(3)) {
        const instant now = host_.timers.now();
        host_.work_table.cold_budget().on_cold({id, 0}, now + left, now);
    }
    /// Serves a request and returns its upstream; empty if it was not sent.
    std::string serve(const char* target = "/stock/x") {
        const std::size_t before = host_.attempts();
        host_.sink.status = 0;
        host_.serve(host_.request(target));
        if (host_.attempts() == before) {
            return "";
        }
        std::string upstream = host_.connector.last().upstream.id;
        host_.connector.answer(200);
        host_.connector.end();
        return upstream;
    }
};

// Load pattern: one engine returned cold, the others have room.
TEST(cold_upstreams, request_goes_to_the_warm_upstream_if_the_cold_one_has_no_room) {
    make_cold("depot-1");
    int to_cold = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string upstream = serve();
        CHECK_TRUE(!upstream.empty());
        to_cold += upstream == "depot-1" ? 1 : 0;
    }
    CHECK_TRUE(to_cold <= 1);
}

// Load pattern: all engines of a service returned together.
TEST(cold_upstreams, request_beyond_all_bounds_is_refused_at_once_with_the_time_of_room) {
    make_cold("depot-1");
    make_cold("depot-2");
    CHECK_TRUE(!serve().empty());
    CHECK_TRUE(!serve().empty());
    CHECK_TRUE(serve().empty());
    LONGS_EQUAL(503, host_.sink.status);
    CHECK_TRUE(host_.sink.retry_after_ms >= 1'000 && host_.sink.retry_after_ms <= 2'000);
}

TEST(cold_upstreams, request_waits_if_there_is_room_within_its_target) {
    make_cold("depot-1");
    make_cold("depot-2");
    serve();
    serve();
    host_.timers.advance(milliseconds(800));
    const std::size_t before = host_.attempts();
    host_.serve(host_.request("/stock/x"));
    LONGS_EQUAL(before, host_.attempts());
    CHECK_TRUE(host_.log.lines.back().find("reason=upstreams_cold") != std::string::npos);
    host_.timers.advance(milliseconds(240));
    LONGS_EQUAL(before + 1, host_.attempts());
}

TEST(cold_upstreams, repeat_of_a_request_counts) {
    make_cold("depot-1");
    make_cold("depot-2");
    host_.serve(host_.request("/stock/x"));
    host_.connector.fail(true);
    host_.timers.advance(milliseconds(100));
    CHECK_TRUE(host_.attempts() <= 2);
    CHECK_TRUE(serve().empty() || serve().empty());
}

TEST(cold_upstreams, service_without_a_limit_is_served_as_before) {
    make_cold("shop-1");
    make_cold("shop-2");
    for (int i = 0; i < 20; ++i) {
        CHECK_TRUE(!serve("/lookup/x").empty());
    }
}

TEST(cold_upstreams, limit_ends_with_the_cold_time) {
    make_cold("depot-1", milliseconds(400));
    make_cold("depot-2", milliseconds(400));
    serve();
    serve();
    host_.timers.advance(milliseconds(400));
    for (int i = 0; i < 10; ++i) {
        CHECK_TRUE(!serve().empty());
    }
}
