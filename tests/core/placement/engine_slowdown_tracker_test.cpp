#include "core/placement/engine_slowdown_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(engine_slowdown_tracker) {
    engine_slowdown_tracker pace_;
    instant now_ = instant(seconds(100));
    int changes_ = 0;

    /// Passes of `ratio` times the usual 45 ms, seen by two streams each.
    void passes(int count, double ratio) {
        for (int i = 0; i < count; ++i) {
            now_ += milliseconds(static_cast<int>(45 * ratio));
            changes_ += pace_.observe("e", ratio, now_) ? 1 : 0;
            changes_ += pace_.observe("e", ratio + 0.1, now_ + milliseconds(1)) ? 1 : 0;
        }
    }
    void check_pace(double expected) {
        DOUBLES_EQUAL(expected, pace_.slowdown_of("e", now_), 0.01);
    }
};

TEST(engine_slowdown_tracker, engine_without_observations_keeps_its_profile) {
    check_pace(1.0);
}

TEST(engine_slowdown_tracker, engine_that_turns_slow_is_known_within_four_passes) {
    passes(20, 1.0);
    passes(4, 4.0);
    check_pace(4.0);
    LONGS_EQUAL(1, changes_);
}

TEST(engine_slowdown_tracker, one_long_pass_seen_by_many_streams_is_no_slow_engine) {
    passes(5, 1.0);
    now_ += milliseconds(400);
    for (int stream = 0; stream < 10; ++stream) {
        pace_.observe("e", 8.0, now_ + milliseconds(stream));
    }
    passes(1, 1.0);
    check_pace(1.0);
}

TEST(engine_slowdown_tracker, engine_that_works_as_usual_again_is_used_again) {
    passes(4, 4.0);
    passes(4, 1.0);
    check_pace(1.0);
    LONGS_EQUAL(2, changes_);
}

TEST(engine_slowdown_tracker, slow_engine_is_tried_again_later_each_time) {
    passes(4, 4.0);
    now_ += milliseconds(1'900);
    check_pace(4.0);
    now_ += milliseconds(200);
    check_pace(1.0);
    passes(4, 4.0);
    now_ += milliseconds(3'900);
    check_pace(4.0);
    now_ += milliseconds(200);
    check_pace(1.0);
}

TEST(engine_slowdown_tracker, observation_of_another_host_counts_for_a_moment) {
    pace_.learn({"e", 4.0}, now_);
    check_pace(4.0);
    LONGS_EQUAL(0, pace_.observed(now_).size());
    now_ += seconds(2);
    check_pace(1.0);
}

TEST(engine_slowdown_tracker, own_observation_goes_before_that_of_another_host) {
    passes(5, 1.0);
    pace_.learn({"e", 4.0}, now_);
    check_pace(1.0);
    passes(4, 3.0);
    LONGS_EQUAL(1, pace_.observed(now_).size());
}

TEST(engine_slowdown_tracker, forgotten_engine_starts_anew) {
    passes(4, 4.0);
    pace_.forget("e");
    check_pace(1.0);
}
