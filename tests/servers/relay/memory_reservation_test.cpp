#include "servers/relay/memory_reservation.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>
#include <string>

#include "servers/relay/engine_memory_client.hpp"
#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(memory_reservation) {
    virtual_timer_service timers_;
    manual_memory_client memory_client_;
    std::optional<bool> result_;
    bool expired_ = false;

    std::unique_ptr<memory_reservation> reserve() {
        std::vector<engine_reservation> reservations;
        reservations.reserve(3);
        for (int i = 0; i < 3; ++i) {
            reservations.push_back({{"10.0.0.1", 80}, 1'000, "c" + std::to_string(i)});
        }
        auto reservation = std::make_unique<memory_reservation>(
            memory_client_, timers_, std::move(reservations), [this](bool held) { result_ = held; },
            [this] { expired_ = true; });
        reservation->start();
        return reservation;
    }
};

TEST(memory_reservation, is_renewed_before_it_expires_and_released_on_destruction) {
    auto reservation = reserve();
    CHECK_TRUE(result_.value_or(false));
    const int first = memory_client_.reserves;
    timers_.advance(milliseconds(3'500));
    CHECK_TRUE(memory_client_.reserves >= first + 3 * 2);
    reservation.reset();
    CHECK_TRUE(memory_client_.held.empty());
    const int last = memory_client_.reserves;
    timers_.advance(seconds(5));
    LONGS_EQUAL(last, memory_client_.reserves);
}

TEST(memory_reservation,
     engine_that_stops_renewing_is_reported_before_other_memory_counts_as_leaked) {
    const auto reservation = reserve();
    timers_.advance(seconds(2));
    CHECK_FALSE(expired_);
    memory_client_.silent = true;
    // The users require memory to be free four seconds after its last request has ended.
    timers_.advance(milliseconds(3'900));
    CHECK_TRUE(expired_);
}

TEST(memory_reservation, occasional_lost_renewals_are_tolerated) {
    const auto reservation = reserve();
    for (int i = 0; i < 5; ++i) {
        memory_client_.silent = true;
        timers_.advance(milliseconds(1'000));
        memory_client_.silent = false;
        timers_.advance(milliseconds(1'000));
    }
    CHECK_FALSE(expired_);
}

// Guards against streams of several engines that end because one of them paused, for a time after
// which it goes on.
TEST(memory_reservation, engine_that_pauses_keeps_its_reservation) {
    for (int offset_ms = 0; offset_ms < 2'000; offset_ms += 50) {
        const auto reservation = reserve();
        timers_.advance(milliseconds(1'000 + offset_ms));
        memory_client_.silent = true;
        timers_.advance(milliseconds(1'900));
        memory_client_.silent = false;
        timers_.advance(milliseconds(1'000));
        CHECK_FALSE(expired_);
    }
}

TEST(memory_reservation, unresponsive_engine_fails_the_reservation_after_a_timeout) {
    memory_client_.silent = true;
    auto reservation = reserve();
    CHECK_FALSE(result_.has_value());
    timers_.advance(seconds(1));
    CHECK_TRUE(result_.has_value());
    CHECK_FALSE(*result_);
}

TEST(memory_reservation, one_engine_without_memory_fails_the_reservation) {
    memory_client_.refuse_after = 2;
    auto reservation = reserve();
    CHECK_FALSE(result_.value_or(true));
    reservation.reset();
    CHECK_TRUE(memory_client_.held.empty());
}

TEST(memory_reservation, replies_read_after_a_process_suspension_are_rejected) {
    memory_client_.hold_answers = true;
    const auto reservation = reserve();
    timers_.suspend(seconds(5));
    memory_client_.deliver_answers();
    CHECK_TRUE(result_.has_value());
    CHECK_FALSE(*result_);
}

TEST(memory_reservation, renewals_read_after_a_process_suspension_are_rejected) {
    const auto reservation = reserve();
    memory_client_.hold_answers = true;
    timers_.advance(milliseconds(1'600));
    CHECK_FALSE(memory_client_.answers.empty());
    timers_.suspend(seconds(5));
    memory_client_.deliver_answers();
    timers_.advance(milliseconds(300));
    CHECK_TRUE(expired_);
}
