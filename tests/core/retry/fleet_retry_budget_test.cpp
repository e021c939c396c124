#include "core/retry/fleet_retry_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(fleet_retry_budget) {
    fleet_retry_settings settings_;
    instant now_{};

    /// Number of retries granted to all hosts in one window when every request fails.
    int taken_in_window(int hosts, int requests_each) {
        int taken = 0;
        for (int host = 0; host < hosts; ++host) {
            fleet_retry_budget budget(settings_);
            budget.set_live_hosts(static_cast<std::size_t>(hosts));
            for (int i = 0; i < requests_each; ++i) {
                budget.on_request("s", now_);
                taken += budget.try_take("s", now_) ? 1 : 0;
            }
        }
        return taken;
    }
};

TEST(fleet_retry_budget, sum_over_hosts_stays_within_the_limit_of_the_fleet) {
    for (const int hosts : {1, 9, 12, 16, 84, 340}) {
        for (const int requests : {0, 3, 50, 400}) {
            const double limit = settings_.ratio * hosts * requests + settings_.allowance;
            CHECK_TRUE(taken_in_window(hosts, requests) <= limit);
        }
    }
}

TEST(fleet_retry_budget, exhausted_share_is_restored_after_the_window) {
    fleet_retry_budget budget(settings_);
    while (budget.try_take("s", now_)) {
    }
    now_ += settings_.window - milliseconds(1);
    CHECK_FALSE(budget.try_take("s", now_));
    now_ += milliseconds(2);
    CHECK_TRUE(budget.try_take("s", now_));
}

TEST(fleet_retry_budget, services_have_separate_shares) {
    fleet_retry_budget budget(settings_);
    while (budget.try_take("s", now_)) {
    }
    CHECK_TRUE(budget.try_take("other", now_));
}
