#include "core/relay/connection_end_evidence.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(connection_end_evidence) {
    connection_end_evidence losses_;
    const instant end_ = instant(std::chrono::seconds(100));

    static upstream_lifetime upstream(const char* id) {
        return {id, 1};
    }
    bool suggest_loss() const {
        return losses_.suggest_loss(upstream("i-1"), end_);
    }
};

TEST(connection_end_evidence, end_without_losses_is_an_end) {
    CHECK_FALSE(suggest_loss());
}

TEST(connection_end_evidence, loss_at_the_same_upstream_makes_an_end_a_loss) {
    losses_.on_lost(upstream("i-1"), end_ - milliseconds(2));
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, loss_just_after_an_end_counts) {
    losses_.on_lost(upstream("i-1"), end_ + milliseconds(8));
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, losses_of_several_other_upstreams_make_an_end_a_loss) {
    losses_.on_lost(upstream("i-2"), end_);
    losses_.on_lost(upstream("i-2"), end_);
    CHECK_FALSE(suggest_loss());
    losses_.on_lost(upstream("i-3"), end_);
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, losses_at_another_time_do_not_count) {
    losses_.on_lost(upstream("i-1"), end_ - milliseconds(20));
    losses_.on_lost(upstream("i-1"), end_ + milliseconds(20));
    CHECK_FALSE(suggest_loss());
}
