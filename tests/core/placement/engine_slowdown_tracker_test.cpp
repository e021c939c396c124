#include "core/placement/engine_slowdown_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(engine_slowdown_tracker) {
    engine_slowdown_tracker tracker_;
    instant now_ = instant(seconds(100));
    int changes_ = 0;

    /// Simulates passes that take `ratio` times the normal 45 ms and are observed by two streams.
    void passes(int count, double ratio) {
        for (int i = 0; i < count; ++i) {
            now_ += milliseconds(static_cast<int>(45 * ratio));
            changes_ += tracker_.observe("e", ratio, now_) ? 1 : 0;
            changes_ += tracker_.observe("e", ratio + 0.1, now_ + milliseconds(1)) ? 1 : 0;
        }
    }
    void check_slowdown(double expected) {
        DOUBLES_EQUAL(expected, tracker_.slowdown_of("e", now_), 0.01);
    }
};

TEST(engine_slowdown_tracker, engine_without_observations_has_no_slowdown) {
    check_slowdown(1.0);
}

TEST(engine_slowdown_tracker, slow_engine_is_detected_within_four_passes) {
    passes(20, 1.0);
    passes(4, 4.0);
    check_slowdown(4.0);
    LONGS_EQUAL(1, changes_);
}

TEST(engine_slowdown_tracker, single_long_pass_observed_by_many_streams_is_no_slowdown) {
    passes(5, 1.0);
    now_ += milliseconds(400);
    for (int stream = 0; stream < 10; ++stream) {
        tracker_.observe("e", 8.0, now_ + milliseconds(stream));
    }
    passes(1, 1.0);
    check_slowdown(1.0);
}

TEST(engine_slowdown_tracker, recovered_engine_has_no_slowdown) {
    passes(4, 4.0);
    passes(4, 1.0);
    check_slowdown(1.0);
    LONGS_EQUAL(2, changes_);
}

TEST(engine_slowdown_tracker, hold_time_doubles_with_each_slowdown) {
    passes(4, 4.0);
    now_ += milliseconds(1'900);
    check_slowdown(4.0);
    now_ += milliseconds(200);
    check_slowdown(1.0);
    passes(4, 4.0);
    now_ += milliseconds(3'900);
    check_slowdown(4.0);
    now_ += milliseconds(200);
    check_slowdown(1.0);
}

TEST(engine_slowdown_tracker, observation_of_another_host_expires) {
    tracker_.observe_remote({"e", 4.0}, now_);
    check_slowdown(4.0);
    LONGS_EQUAL(0, tracker_.observed(now_).size());
    now_ += seconds(2);
    check_slowdown(1.0);
}

TEST(engine_slowdown_tracker, own_observation_takes_precedence_over_that_of_another_host) {
    passes(5, 1.0);
    tracker_.observe_remote({"e", 4.0}, now_);
    check_slowdown(1.0);
    passes(4, 3.0);
    LONGS_EQUAL(1, tracker_.observed(now_).size());
}

TEST(engine_slowdown_tracker, removed_engine_has_no_slowdown) {
    passes(4, 4.0);
    tracker_.remove("e");
    check_slowdown(1.0);
}
