#include "core/scheduling/engine_time_shares.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "core/placement/engine_work.hpp"
#include "core/scheduling/engine_account_key.hpp"
#include "core/scheduling/share_limit.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Accounts send prompts of 100 ms of engine time; one of them sends 7.5 times as many.
TEST_GROUP(engine_time_shares) {
    engine_time_shares shares_;
    std::vector<std::uint64_t> accounts_;
    instant now_{seconds(100)};

    void setup() override {
        for (const char* name : {"flood", "a", "b", "c", "d", "e"}) {
            accounts_.push_back(engine_account_key("llm", name));
        }
    }
    static void send(engine_time_shares & to, std::uint64_t account, int rank, duration engine_time,
                     instant at) {
        engine_work work;
        work.account = account;
        work.rank = rank;
        work.engine_time = engine_time;
        work.dispatched_at = at;
        to.on_dispatch(work);
    }
    void play_flood(engine_time_shares & to, duration engine_time) {
        for (int step = 0; step < 100; ++step) {
            now_ += milliseconds(100);
            for (std::size_t index = 0; index < accounts_.size(); ++index) {
                send(to, accounts_[index], 0, index == 0 ? engine_time * 15 / 2 : engine_time,
                     now_);
            }
        }
    }
};

TEST(engine_time_shares, account_that_floods_is_over_its_share_and_no_other) {
    play_flood(shares_, milliseconds(100));
    CHECK_TRUE(shares_.standing(accounts_[0], 0, now_).over());
    for (std::size_t index = 1; index < accounts_.size(); ++index) {
        CHECK_FALSE(shares_.standing(accounts_[index], 0, now_).over());
    }
}

TEST(engine_time_shares, even_use_leaves_no_account_over_its_share) {
    for (int step = 0; step < 100; ++step) {
        now_ += milliseconds(100);
        for (const std::uint64_t account : accounts_) {
            send(shares_, account, 0, milliseconds(100), now_);
        }
    }
    for (const std::uint64_t account : accounts_) {
        CHECK_FALSE(shares_.standing(account, 0, now_).over());
    }
}

TEST(engine_time_shares, account_may_use_what_the_others_leave) {
    for (int step = 0; step < 100; ++step) {
        now_ += milliseconds(100);
        send(shares_, accounts_[0], 0, milliseconds(100), now_);
    }
    CHECK_FALSE(shares_.standing(accounts_[0], 0, now_).over());
    play_flood(shares_, milliseconds(100));
    const share_standing flood = shares_.standing(accounts_[0], 0, now_);
    // The limit is far above an even sixth of the 12.5 engines in use.
    CHECK_TRUE(flood.limit > 3.0);
}

TEST(engine_time_shares, account_is_within_its_share_after_the_stated_time) {
    play_flood(shares_, milliseconds(100));
    play_flood(shares_, milliseconds(100));
    play_flood(shares_, milliseconds(100));
    const duration free_in = shares_.standing(accounts_[0], 0, now_).free_in;
    // The others go on; repeats that are refused use no engine time.
    for (duration passed{}; passed < free_in; passed += milliseconds(100)) {
        now_ += milliseconds(100);
        for (std::size_t index = 1; index < accounts_.size(); ++index) {
            send(shares_, accounts_[index], 0, milliseconds(100), now_);
        }
    }
    CHECK_FALSE(shares_.standing(accounts_[0], 0, now_ + free_in / 20).over());
}

TEST(engine_time_shares, limit_falls_while_engines_stay_short_and_rises_after) {
    play_flood(shares_, milliseconds(100));
    const double first = shares_.standing(accounts_[0], 0, now_).limit;
    for (int step = 0; step < 20; ++step) {
        now_ += milliseconds(100);
        for (const std::uint64_t account : accounts_) {
            send(shares_, account, 0, milliseconds(100), now_);
        }
        shares_.standing(accounts_[0], 0, now_);
    }
    const double later = shares_.standing(accounts_[0], 0, now_).limit;
    CHECK_TRUE(later < first * 0.7);
    now_ += seconds(4);
    CHECK_TRUE(shares_.standing(accounts_[0], 0, now_).limit > later);
}

// Guards against long prompts of a small account that never get their turn.
TEST(engine_time_shares, small_account_may_send_its_next_long_prompt_after_a_while) {
    play_flood(shares_, milliseconds(100));
    send(shares_, accounts_[1], 0, seconds(12), now_);
    const share_standing after_one = shares_.standing(accounts_[1], 0, now_);
    play_flood(shares_, milliseconds(100));
    CHECK_TRUE(shares_.standing(accounts_[1], 0, now_).used < after_one.used);
    CHECK_FALSE(shares_.standing(accounts_[1], 0, now_).over());
    CHECK_TRUE(shares_.standing(accounts_[0], 0, now_).over());
}

TEST(engine_time_shares, less_urgent_work_does_not_count_for_urgent_requests) {
    play_flood(shares_, milliseconds(10));
    for (int step = 0; step < 50; ++step) {
        send(shares_, accounts_[1], 2, seconds(1), now_);
    }
    CHECK_FALSE(shares_.standing(accounts_[1], 0, now_).over());
    CHECK_TRUE(shares_.standing(accounts_[1], 2, now_).over());
}

TEST(engine_time_shares, host_that_hears_only_part_of_the_work_judges_by_proportion) {
    engine_time_shares cut_off;
    play_flood(shares_, milliseconds(100));
    now_ = instant(seconds(100));
    play_flood(cut_off, milliseconds(25));
    const share_standing complete = shares_.standing(accounts_[0], 0, now_);
    const share_standing partial = cut_off.standing(accounts_[0], 0, now_);
    CHECK_TRUE(partial.over());
    DOUBLES_EQUAL(complete.used / complete.limit, partial.used / partial.limit, 0.01);
}

TEST(engine_time_shares, work_without_an_account_and_other_services_do_not_count) {
    play_flood(shares_, milliseconds(100));
    send(shares_, 0, 0, seconds(100), now_);
    CHECK_FALSE(shares_.standing(engine_account_key("other", "flood"), 0, now_).over());
    LONGS_EQUAL(accounts_.size(), shares_.accounts());
}

TEST(engine_time_shares, late_announcement_counts_with_bounded_weight) {
    play_flood(shares_, milliseconds(100));
    send(shares_, accounts_[1], 0, milliseconds(100), now_ - seconds(3'600));
    CHECK_FALSE(shares_.standing(accounts_[1], 0, now_).over());
    CHECK_TRUE(shares_.standing(accounts_[0], 0, now_).over());
}

TEST_GROUP(share_limit) {
    share_standing over_{4.0, 2.0, milliseconds(300)};
};

TEST(share_limit, account_within_its_share_competes) {
    CHECK_TRUE(limit_to_share({1.0, 2.0, {}}, seconds(1), {}) == share_verdict::admit);
}

TEST(share_limit, request_waits_if_its_share_becomes_free_in_time) {
    CHECK_TRUE(limit_to_share(over_, milliseconds(100), milliseconds(400)) == share_verdict::wait);
}

TEST(share_limit, request_that_would_be_late_is_refused_at_once) {
    CHECK_TRUE(limit_to_share(over_, milliseconds(101), milliseconds(400)) ==
               share_verdict::refuse);
}

TEST(engine_time_shares, dispatched_requests_are_counted_by_rank) {
    play_flood(shares_, milliseconds(100));
    LONGS_EQUAL(0, shares_.requests_per_s(accounts_[0], 0, now_));
    engine_work work;
    work.account = accounts_[0];
    work.rank = 1;
    work.engine_time = milliseconds(100);
    work.target_gap = milliseconds(250);
    for (int step = 0; step < 100; ++step) {
        now_ += milliseconds(50);
        work.dispatched_at = now_;
        shares_.on_dispatch(work);
    }
    DOUBLES_EQUAL(20.0, shares_.requests_per_s(accounts_[1], 1, now_), 1.0);
    DOUBLES_EQUAL(0.0, shares_.requests_per_s(accounts_[1], 0, now_), 1.0);
}
