#include "core/relay/connection_end_evidence.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(connection_end_evidence) {
    connection_end_evidence evidence_;
    const instant end_ = instant(std::chrono::seconds(100));

    static upstream_lifetime upstream(const char* id) {
        return {id, 1};
    }
    const char* objection() const {
        return evidence_.objection(upstream("i-1"), end_);
    }
    bool suggest_loss() const {
        return objection() != nullptr;
    }
    /// The host runs until `before` and is then suspended until `after` the end.
    void suspend(duration before, duration after) {
        evidence_.on_tick(end_ - before - connection_end_evidence::tick_period);
        evidence_.on_tick(end_ - before);
        evidence_.on_tick(end_ + after);
    }
};

TEST(connection_end_evidence, end_without_losses_is_an_end) {
    CHECK_FALSE(suggest_loss());
}

TEST(connection_end_evidence, loss_at_the_same_upstream_makes_an_end_a_loss) {
    evidence_.on_lost(upstream("i-1"), end_ - milliseconds(2));
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, loss_just_after_an_end_counts) {
    evidence_.on_lost(upstream("i-1"), end_ + milliseconds(8));
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, losses_of_several_other_upstreams_make_an_end_a_loss) {
    evidence_.on_lost(upstream("i-2"), end_);
    evidence_.on_lost(upstream("i-2"), end_);
    CHECK_FALSE(suggest_loss());
    evidence_.on_lost(upstream("i-3"), end_);
    CHECK_TRUE(suggest_loss());
}

TEST(connection_end_evidence, losses_at_another_time_do_not_count) {
    evidence_.on_lost(upstream("i-1"), end_ - milliseconds(20));
    evidence_.on_lost(upstream("i-1"), end_ + milliseconds(20));
    CHECK_FALSE(suggest_loss());
}

// Guards against an end that was read so late that another process confirms it.
TEST(connection_end_evidence, end_that_is_read_after_a_suspension_is_doubtful) {
    suspend(milliseconds(3'000), milliseconds(-50));
    STRCMP_EQUAL("this host was suspended", objection());
}

TEST(connection_end_evidence,
     end_that_is_read_before_the_first_tick_after_a_suspension_is_doubtful) {
    suspend(milliseconds(3'000), milliseconds(1));
    STRCMP_EQUAL("this host was suspended", objection());
}

TEST(connection_end_evidence, overdue_tick_makes_an_end_doubtful) {
    evidence_.on_tick(end_ - milliseconds(2'500));
    STRCMP_EQUAL("this host was suspended", objection());
}

TEST(connection_end_evidence, end_that_is_read_before_or_long_after_a_suspension_is_an_end) {
    suspend(milliseconds(-10), milliseconds(3'000));
    POINTERS_EQUAL(nullptr, objection());
    connection_end_evidence later;
    later.on_tick(end_ - milliseconds(5'000));
    later.on_tick(end_ - milliseconds(900));
    POINTERS_EQUAL(nullptr, later.objection(upstream("i-1"), end_));
}
