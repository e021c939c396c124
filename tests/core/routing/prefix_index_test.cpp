#include "core/routing/prefix_index.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(prefix_index) {
    prefix_index index_;
    upstream_id engine_{"e"};
    instant now_{};
};

TEST(prefix_index, stored_prefix_is_expected_until_evicted_or_expired) {
    index_.stored(engine_, {1, 2, 3}, now_);
    LONGS_EQUAL(2 * prefix_index::block_tokens, index_.expected_tokens(engine_, {1, 2, 9}, now_));
    index_.evicted(engine_, 2);
    LONGS_EQUAL(prefix_index::block_tokens, index_.expected_tokens(engine_, {1, 2}, now_));
    LONGS_EQUAL(0, index_.expected_tokens(engine_, {1}, now_ + std::chrono::hours(1)));
}

TEST(prefix_index, reported_cache_misses_lower_the_trust) {
    index_.stored(engine_, {1}, now_);
    for (int i = 0; i < 20; ++i) {
        index_.adjust_trust(engine_, 1024, 0);
    }
    LONGS_EQUAL(0, index_.expected_tokens(engine_, {1}, now_));
    for (int i = 0; i < 20; ++i) {
        index_.adjust_trust(engine_, 1024, 1024);
    }
    CHECK_TRUE(index_.expected_tokens(engine_, {1}, now_) > 700);
}

TEST(prefix_index, event_gap_lowers_the_trust) {
    index_.stored(engine_, {1}, now_);
    index_.on_cache_event(engine_, 1);
    index_.on_cache_event(engine_, 101);
    CHECK_TRUE(index_.expected_tokens(engine_, {1}, now_) < 1024);
}
