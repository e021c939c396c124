#include "core/health/upstream_notices.hpp"

#include <CppUTest/TestHarness.h>

#include "core/fleet/upstream_entry.hpp"

using namespace fuchsiaquay;
using std::chrono::seconds;

TEST_GROUP(upstream_notices) {
    upstream_notices notices_;
    upstream_entry upstream_;
    instant now_ = instant(seconds(100));

    void setup() override {
        upstream_.id = "i-1";
        upstream_.started_at_ms = 1'000;
    }
};

TEST(upstream_notices, upstream_that_leaves_is_accepted_again_in_its_next_lifetime_only) {
    CHECK_TRUE(notices_.accepts(upstream_, now_));
    CHECK_TRUE(notices_.on_leaving(upstream_));
    CHECK_FALSE(notices_.on_leaving(upstream_));
    CHECK_FALSE(notices_.accepts(upstream_, now_ + seconds(3'600)));
    CHECK_FALSE(notices_.pause_left(upstream_, now_).has_value());
    upstream_.started_at_ms = 2'000;
    CHECK_TRUE(notices_.accepts(upstream_, now_));
}

TEST(upstream_notices, pause_ends_with_its_time_and_a_shorter_one_does_not_end_it) {
    notices_.on_pause(upstream_, seconds(5), now_);
    notices_.on_pause(upstream_, seconds(1), now_ + seconds(1));
    CHECK_FALSE(notices_.accepts(upstream_, now_ + seconds(4)));
    CHECK_TRUE(notices_.pause_left(upstream_, now_ + seconds(4)) == duration(seconds(1)));
    CHECK_TRUE(notices_.accepts(upstream_, now_ + seconds(5)));
}

TEST(upstream_notices, upstream_that_is_gone_is_forgotten) {
    notices_.on_leaving(upstream_);
    notices_.forget("i-1");
    CHECK_TRUE(notices_.accepts(upstream_, now_));
}
