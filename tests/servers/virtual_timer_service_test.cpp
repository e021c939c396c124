#include "tests/servers/virtual_timer_service.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::virtual_timer_service;
using std::chrono::seconds;

TEST_GROUP(virtual_timer_service) {
    virtual_timer_service timers_;
    int calls_ = 0;
};

TEST(virtual_timer_service, periodic_subscription_runs_once_a_period) {
    timers_.every(seconds(1), [this] { ++calls_; });
    timers_.advance(seconds(3));
    LONGS_EQUAL(3, calls_);
}

TEST(virtual_timer_service, cancelled_subscription_never_runs) {
    const auto id = timers_.after(seconds(1), [this] { ++calls_; });
    timers_.cancel(id);
    timers_.advance(seconds(2));
    LONGS_EQUAL(0, calls_);
}
