#include "core/relay/connect_timeout.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(connect_timeout){};

TEST(connect_timeout, unreachable_engine_leaves_time_for_another_one_within_the_target) {
    // An engine without power accepts no connection. The next one needs half of the target.
    const duration target = milliseconds(250);
    CHECK_TRUE(connect_timeout(target) <= target / 3);
}

TEST(connect_timeout, connection_over_a_long_distance_has_time_for_a_round_trip) {
    CHECK_TRUE(connect_timeout(milliseconds(20)) > milliseconds(40));
}

TEST(connect_timeout, upper_limit_is_shorter_than_the_resending_of_an_opening_packet) {
    CHECK_TRUE(connect_timeout(seconds(60)) < seconds(1));
}
