#include "servers/relay/memory_reservation.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>
#include <string>

#include "servers/relay/engine_orders.hpp"
#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(memory_reservation) {
    virtual_timer_service timers_;
    manual_orders orders_;
    std::optional<bool> result_;
    bool lapsed_ = false;

    std::unique_ptr<memory_reservation> reserve() {
        std::vector<memory_claim> claims;
        claims.reserve(3);
        for (int i = 0; i < 3; ++i) {
            claims.push_back({{"10.0.0.1", 80}, 1'000, "c" + std::to_string(i)});
        }
        auto reservation = std::make_unique<memory_reservation>(
            orders_, timers_, std::move(claims), [this](bool held) { result_ = held; },
            [this] { lapsed_ = true; });
        reservation->start();
        return reservation;
    }
};

TEST(memory_reservation, is_renewed_before_its_lifetime_ends_and_released_with_it) {
    auto reservation = reserve();
    CHECK_TRUE(result_.value_or(false));
    const int first = orders_.reserves;
    timers_.advance(milliseconds(3'500));
    CHECK_TRUE(orders_.reserves >= first + 3 * 2);
    reservation.reset();
    CHECK_TRUE(orders_.held.empty());
    const int last = orders_.reserves;
    timers_.advance(seconds(5));
    LONGS_EQUAL(last, orders_.reserves);
}

TEST(memory_reservation, engine_that_stops_renewing_is_told_before_the_others_count_as_leaked) {
    const auto reservation = reserve();
    timers_.advance(seconds(2));
    CHECK_FALSE(lapsed_);
    orders_.silent = true;
    // The users' bound: memory is free four seconds after its last request has ended.
    timers_.advance(milliseconds(3'900));
    CHECK_TRUE(lapsed_);
}

TEST(memory_reservation, renewal_that_fails_now_and_then_changes_nothing) {
    const auto reservation = reserve();
    for (int i = 0; i < 5; ++i) {
        orders_.silent = true;
        timers_.advance(milliseconds(1'000));
        orders_.silent = false;
        timers_.advance(milliseconds(1'000));
    }
    CHECK_FALSE(lapsed_);
}

TEST(memory_reservation, engine_that_does_not_answer_fails_the_whole_in_time) {
    orders_.silent = true;
    auto reservation = reserve();
    CHECK_FALSE(result_.has_value());
    timers_.advance(seconds(1));
    CHECK_TRUE(result_.has_value());
    CHECK_FALSE(*result_);
}

TEST(memory_reservation, one_engine_without_memory_fails_the_whole) {
    orders_.refuse_after = 2;
    auto reservation = reserve();
    CHECK_FALSE(result_.value_or(true));
    reservation.reset();
    CHECK_TRUE(orders_.held.empty());
}

TEST(memory_reservation, answers_that_lay_unread_while_the_process_stood_still_hold_nothing) {
    orders_.unread = true;
    const auto reservation = reserve();
    timers_.suspend(seconds(5));
    orders_.read_answers();
    CHECK_TRUE(result_.has_value());
    CHECK_FALSE(*result_);
}

TEST(memory_reservation, renewal_that_lay_unread_while_the_process_stood_still_holds_nothing) {
    const auto reservation = reserve();
    orders_.unread = true;
    timers_.advance(milliseconds(1'600));
    CHECK_FALSE(orders_.answers.empty());
    timers_.suspend(seconds(5));
    orders_.read_answers();
    timers_.advance(milliseconds(300));
    CHECK_TRUE(lapsed_);
}
