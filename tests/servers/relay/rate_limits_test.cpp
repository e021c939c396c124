#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two services of a host name in their answers how many requests a second they take.
TEST_GROUP(rate_limits) {
    relay_fixture host_;

    void answer(const char* limit) {
        host_.serve(host_.request("/lookup/x"));
        host_.connector.answer(200, {{"limit", limit}});
        host_.connector.end();
    }
    /// Each service names the limit, and gets the request that it leaves room for.
    void use_up_both(const char* limit) {
        for (int i = 0; i < 4; ++i) {
            answer(limit);
        }
    }
};

TEST(rate_limits, request_goes_to_the_service_whose_limit_leaves_room) {
    answer("0.5");
    answer("0.5");
    const std::string limited = host_.connector.last().upstream.id;
    for (int i = 0; i < 3; ++i) {
        host_.serve(host_.request("/lookup/x"));
        CHECK_TRUE(host_.connector.last().upstream.id != limited);
        host_.connector.answer(200);
        host_.connector.end();
    }
}

// Guards against requests that wait for their deadline although the limits leave no room for them.
TEST(rate_limits, request_beyond_all_limits_is_refused_at_once_with_the_time_of_room) {
    use_up_both("0.5");
    const std::size_t before = host_.attempts();
    host_.sink.status = 0;
    host_.serve(host_.request("/lookup/x"));
    LONGS_EQUAL(before, host_.attempts());
    LONGS_EQUAL(503, host_.sink.status);
    CHECK_TRUE(host_.sink.retry_after_ms >= 1'000);
    CHECK_TRUE(host_.sink.retry_after_ms <= 4'000);
}

TEST(rate_limits, request_waits_if_the_limits_leave_room_within_its_target) {
    use_up_both("5");
    const std::size_t before = host_.attempts();
    host_.serve(host_.request("/lookup/x"));
    LONGS_EQUAL(before, host_.attempts());
    host_.timers.advance(milliseconds(240));
    LONGS_EQUAL(before + 1, host_.attempts());
}

TEST(rate_limits, answer_without_a_limit_brings_the_full_share_back) {
    use_up_both("5");
    host_.timers.advance(seconds(1));
    host_.serve(host_.request("/lookup/x"));
    host_.connector.answer(200);
    host_.connector.end();
    LONGS_EQUAL(1, host_.work_table.rate_limits().size());
}
