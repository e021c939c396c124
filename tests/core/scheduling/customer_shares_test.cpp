#include "core/scheduling/customer_shares.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(customer_shares) {
    customer_shares shares_{1000.0};
    customer_id large_{"large"};
    customer_id small_{"small"};
    instant now_{};

    void setup() override {
        shares_.set_weight(large_, 0, 1.0);
        shares_.set_weight(small_, 0, 1.0);
        for (int i = 0; i < 120; ++i) {
            now_ += std::chrono::seconds(1);
            shares_.add_usage(large_, 0, false, 600.0, now_);
            shares_.add_usage(small_, 0, false, 50.0, now_);
        }
    }
};

TEST(customer_shares, flooding_customer_is_over_its_share) {
    CHECK_TRUE(shares_.over_share(large_, 0, false, now_));
    CHECK_FALSE(shares_.over_share(small_, 0, false, now_));
}

TEST(customer_shares, use_of_less_urgent_levels_does_not_count) {
    shares_.add_usage(small_, 2, false, 100'000.0, now_);
    CHECK_TRUE(shares_.over_share(small_, 2, false, now_));
    CHECK_FALSE(shares_.over_share(small_, 0, false, now_));
}

TEST(customer_shares, long_use_does_not_set_back_short_prompts) {
    shares_.add_usage(small_, 0, true, 1'000'000.0, now_);
    CHECK_TRUE(shares_.over_share(small_, 0, true, now_));
    CHECK_FALSE(shares_.over_share(small_, 0, false, now_));
}

TEST(customer_shares, use_is_forgotten) {
    CHECK_FALSE(shares_.over_share(large_, 0, false, now_ + std::chrono::minutes(3)));
}

TEST(customer_shares, customer_alone_at_its_level_has_all_of_it) {
    customer_shares alone(1000.0);
    alone.set_weight(large_, 0, 1.0);
    alone.set_weight(small_, 2, 1.0);
    alone.add_usage(large_, 0, false, 600.0 * 30.0, now_);
    CHECK_FALSE(alone.over_share(large_, 0, false, now_));
}

TEST(customer_shares, limit_takes_from_the_largest_user_only) {
    const double total = shares_.total_used(0, false, now_);
    const double limit = shares_.usage_limit(0, false, 0.85 * total, now_);
    CHECK_TRUE(shares_.used(large_, 0, false, now_) > limit);
    CHECK_TRUE(shares_.used(small_, 0, false, now_) < limit);
    DOUBLES_EQUAL(0.85 * total, limit + shares_.used(small_, 0, false, now_), 0.001);
}

TEST(customer_shares, shorter_window_forgets_use_sooner) {
    customer_shares recent(1000.0, {std::chrono::seconds(5), std::chrono::seconds(5)});
    recent.add_usage(small_, 0, false, 5'000.0, now_);
    DOUBLES_EQUAL(1.0, recent.used(small_, 0, false, now_), 0.001);
    DOUBLES_EQUAL(0.368, recent.used(small_, 0, false, now_ + std::chrono::seconds(5)), 0.001);
}
