#include "core/time/clock.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <limits>

using namespace fuchsiaquay;

TEST_GROUP(clock){};

TEST(clock, seconds_are_converted_to_microseconds) {
    LONGS_EQUAL(1'500'000, from_seconds(1.5).count());
    LONGS_EQUAL(-1'500'000, from_seconds(-1.5).count());
    LONGS_EQUAL(1'000, limited_milliseconds(1).count());
}

// Guards against a conversion whose result is undefined, and a length of time that overflows.
TEST(clock, length_beyond_the_bound_is_limited) {
    constexpr double infinite = std::numeric_limits<double>::infinity();
    for (const double seconds : {1e300, 1e19, infinite}) {
        CHECK_TRUE(from_seconds(seconds) == max_duration);
        CHECK_TRUE(from_seconds(-seconds) == -max_duration);
    }
    LONGS_EQUAL(0, from_seconds(std::numeric_limits<double>::quiet_NaN()).count());
    using limits = std::numeric_limits<std::int64_t>;
    CHECK_TRUE(limited_milliseconds(limits::max()) == max_duration);
    CHECK_TRUE(limited_milliseconds(limits::min()) == -max_duration);
    CHECK_TRUE(instant(max_duration) + max_duration > instant(max_duration));
}
