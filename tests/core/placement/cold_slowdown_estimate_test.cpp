#include "core/placement/cold_slowdown_estimate.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(cold_slowdown_estimate) {
    cold_slowdown_estimate estimate_;
};

TEST(cold_slowdown_estimate, cold_engine_counts_as_slow_before_the_first_observation) {
    CHECK_TRUE(estimate_.slowdown_of("s") > 1.5);
}

// Load pattern: the engines of a data centre return and decode their first streams.
TEST(cold_slowdown_estimate, passes_show_how_slow_the_engines_of_the_service_are) {
    for (int i = 0; i < 60; ++i) {
        estimate_.observe("slow", 4.0);
        estimate_.observe("fast", 0.9);
    }
    DOUBLES_EQUAL(4.0, estimate_.slowdown_of("slow"), 0.1);
    DOUBLES_EQUAL(1.0, estimate_.slowdown_of("fast"), 0.1);
    CHECK_TRUE(estimate_.slowdown_of("other") > 1.5);
}

TEST(cold_slowdown_estimate, single_long_pass_counts_little) {
    const double before = estimate_.slowdown_of("s");
    estimate_.observe("s", 1'000.0);
    CHECK_TRUE(estimate_.slowdown_of("s") <= before + 1.0);
}
