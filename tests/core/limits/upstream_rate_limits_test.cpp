#include "core/limits/upstream_rate_limits.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(upstream_rate_limits) {
    upstream_rate_limits limits_;
    upstream_rate_limits other_;
    instant now_ = instant(seconds(100));

    /// Sends whenever the limit allows it, and returns the number of requests.
    int send_for(duration time, int rank = 0) {
        int sent = 0;
        for (const instant end = now_ + time; now_ < end; now_ += milliseconds(10)) {
            if (limits_.accepts("e", rank, now_)) {
                limits_.on_dispatch("e", now_);
                ++sent;
            }
        }
        return sent;
    }
};

// Guards against an engine that gets its full share although it named a limit.
TEST(upstream_rate_limits, requests_keep_to_the_limit) {
    limits_.on_answer("e", 2.0, now_);
    const int sent = send_for(seconds(10));
    CHECK_TRUE(sent >= 19 && sent <= 22);
}

TEST(upstream_rate_limits, requests_of_other_hosts_count) {
    limits_.on_answer("e", 2.0, now_);
    for (int i = 0; i < 4; ++i) {
        limits_.on_dispatch("e", now_);
    }
    CHECK_FALSE(limits_.accepts("e", 0, now_ + milliseconds(1'700)));
    CHECK_TRUE(limits_.accepts("e", 0, now_ + milliseconds(2'000)));
}

TEST(upstream_rate_limits, limit_learnt_from_another_host_is_kept) {
    other_.on_answer("e", 1.0, now_);
    limits_.merge(other_.notices(now_));
    CHECK_TRUE(limits_.rate_of("e") == std::optional<double>(1.0));
    // Only what answers said to a host itself is passed on.
    CHECK_TRUE(limits_.notices(now_).empty());
}

TEST(upstream_rate_limits, answer_without_a_limit_ends_it_on_all_hosts) {
    limits_.on_answer("e", 1.0, now_);
    other_.merge(limits_.notices(now_));
    for (int i = 0; i < 9; ++i) {
        limits_.on_dispatch("e", now_);
    }
    now_ += seconds(1);
    CHECK_TRUE(limits_.on_answer("e", std::nullopt, now_));
    other_.merge(limits_.notices(now_));
    CHECK_TRUE(limits_.accepts("e", 0, now_));
    CHECK_TRUE(other_.accepts("e", 0, now_));
    LONGS_EQUAL(0, other_.size());
}

TEST(upstream_rate_limits, older_notice_does_not_replace_a_newer_one) {
    other_.on_answer("e", 1.0, now_);
    limits_.on_answer("e", 3.0, now_ + seconds(1));
    limits_.merge(other_.notices(now_));
    CHECK_TRUE(limits_.rate_of("e") == std::optional<double>(3.0));
}

TEST(upstream_rate_limits, larger_limit_takes_effect_at_once) {
    limits_.on_answer("e", 0.5, now_);
    limits_.on_dispatch("e", now_);
    limits_.on_dispatch("e", now_);
    limits_.on_answer("e", 50.0, now_ + milliseconds(100));
    CHECK_TRUE(limits_.accepts("e", 0, now_ + milliseconds(150)));
}

TEST(upstream_rate_limits, limit_of_zero_leaves_room_for_a_request_that_shows_its_end) {
    limits_.on_answer("e", 0.0, now_);
    const int sent = send_for(seconds(20));
    CHECK_TRUE(sent >= 3 && sent <= 5);
}

TEST(upstream_rate_limits, host_that_does_not_hear_the_others_uses_its_share) {
    limits_.on_answer("e", 8.0, now_);
    limits_.set_share(0.25);
    const int sent = send_for(seconds(10));
    CHECK_TRUE(sent >= 19 && sent <= 22);
}

TEST(upstream_rate_limits, urgent_request_goes_first) {
    limits_.on_answer("e", 2.0, now_);
    limits_.on_dispatch("e", now_);
    const duration urgent = limits_.time_until_accepted("e", 0, now_);
    CHECK_TRUE(limits_.time_until_accepted("e", 1, now_) > urgent);
}

TEST(upstream_rate_limits, upstream_without_a_limit_accepts_everything) {
    CHECK_FALSE(limits_.on_answer("e", std::nullopt, now_));
    limits_.on_dispatch("e", now_);
    CHECK_TRUE(limits_.accepts("e", 2, now_));
    CHECK_TRUE(limits_.notices(now_).empty());
}

// Guards against a limit of a process that has ended, which a host that has not yet heard of the
// restart still tells of.
TEST(upstream_rate_limits, limit_of_an_earlier_process_ends_with_its_restart) {
    limits_.on_answer("e", 0.5, now_);
    other_.on_answer("e", 0.5, now_);
    now_ += seconds(1);
    limits_.on_restarted("e", now_);
    limits_.merge(other_.notices(now_));
    CHECK_TRUE(limits_.rate_of("e") == std::nullopt);
    now_ += seconds(1);
    other_.on_answer("e", 2.0, now_);
    limits_.merge(other_.notices(now_));
    CHECK_TRUE(limits_.rate_of("e") == std::optional<double>(2.0));
}
