#include "servers/limits/limit_service.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

#include "tests/servers/limits/limit_fleet.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bounds are specified in docs/design/limits.md.
TEST_GROUP(limit_service) {
    static constexpr double rate = 60.0;
    static constexpr std::int64_t concurrency = 90;
    static constexpr int hosts = 9;
    static constexpr double partition_factor = 1.25;

    limit_fleet fleet_{hosts, customer_limits{rate, 0.0, concurrency}};

    static double most_allowed(double factor, double window) {
        return factor * rate * (window + 1.0) + 2.0 * hosts;
    }
    /// Prints the measurements if FUCHSIAQUAY_FIGURES is set.
    void report(const char* name) {
        if (std::getenv("FUCHSIAQUAY_FIGURES") != nullptr) {
            std::printf(
                "%s: most in 1 s %zu, in 10 s %zu, in 60 s %zu, at once %d, mean %.1f\n", name,
                fleet_.most_in(seconds(1)), fleet_.most_in(seconds(10)),
                fleet_.most_in(seconds(60)), fleet_.most_running,
                static_cast<double>(fleet_.admitted.size()) /
                    std::max(1.0, to_seconds(fleet_.admitted.back() - fleet_.admitted.front())));
        }
    }
    void check_bounds(const char* name, double factor) {
        report(name);
        for (const double window : {1.0, 10.0, 60.0}) {
            const auto most = static_cast<double>(fleet_.most_in(from_seconds(window)));
            CHECK_TRUE(most <= most_allowed(factor, window));
        }
        CHECK_TRUE(fleet_.most_running <= factor * static_cast<double>(concurrency) + hosts);
    }
    void offer_to(std::initializer_list<const char*> names, double each,
                  duration length = milliseconds(500)) {
        for (const char* name : names) {
            fleet_.offer(name, each, 100.0, length);
        }
    }
};

TEST(limit_service, demand_on_three_hosts_is_admitted_up_to_the_limit) {
    offer_to({"h0", "h1", "h2"}, 50.0);
    fleet_.timers.advance(seconds(5));
    check_bounds("start", 1.0);
    fleet_.measure();
    fleet_.timers.advance(seconds(60));
    check_bounds("three hosts", 1.0);
    CHECK_TRUE(static_cast<double>(fleet_.admitted.size()) >= 0.9 * rate * 60.0);
}

TEST(limit_service, uneven_demand_gets_the_whole_limit) {
    offer_to({"h0"}, 100.0);
    offer_to({"h1", "h2"}, 2.0);
    fleet_.timers.advance(seconds(5));
    fleet_.measure();
    fleet_.timers.advance(seconds(60));
    check_bounds("uneven", 1.0);
    CHECK_TRUE(static_cast<double>(fleet_.admitted.size()) >= 0.9 * rate * 60.0);
}

TEST(limit_service, demand_that_moves_is_followed_within_the_bound) {
    offer_to({"h0"}, 100.0);
    fleet_.timers.advance(seconds(20));
    fleet_.measure();
    offer_to({"h1", "h2", "h3"}, 100.0);
    fleet_.timers.advance(seconds(60));
    check_bounds("moved", 1.0);
}

TEST(limit_service, total_stays_within_the_bound_after_keeper_death) {
    offer_to({"h0", "h1", "h2"}, 50.0);
    fleet_.timers.advance(seconds(5));
    fleet_.measure();
    fleet_.kill(fleet_.keeper("h0"));
    fleet_.timers.advance(seconds(60));
    check_bounds("keeper dead", 1.0);
}

TEST(limit_service, new_keeper_accounts_for_shares_of_hosts_with_rare_requests) {
    // Hosts with a sufficient share send a request only every four seconds, so a new keeper learns
    // of them late.
    for (int half_seconds = 0; half_seconds < 8; ++half_seconds) {
        limit_fleet fleet{hosts, customer_limits{rate, 0.0, concurrency}};
        fleet.offer("h0", 1.0, 100.0, milliseconds(500));
        fleet.timers.advance(seconds(2));
        const std::string keeper = fleet.keeper("h0");
        std::vector<std::string> others;
        for (const auto& node : fleet.nodes) {
            if (node.first != keeper) {
                others.push_back(node.first);
            }
        }
        fleet.offer(others[0], 100.0, 100.0, milliseconds(500));
        for (std::size_t i = 1; i <= 4; ++i) {
            fleet.offer(others[i], 10.0, 100.0, milliseconds(500));
        }
        fleet.timers.advance(seconds(30) + half_seconds * milliseconds(500));
        fleet.measure();
        fleet.kill(keeper);
        fleet.timers.advance(seconds(30));
        CHECK_TRUE(static_cast<double>(fleet.most_in(seconds(10))) <= most_allowed(1.0, 10.0));
        CHECK_TRUE(static_cast<double>(fleet.most_in(seconds(5))) <= most_allowed(1.0, 5.0));
        if (std::getenv("FUCHSIAQUAY_FIGURES") != nullptr) {
            std::printf("new keeper, death at +%d ms: most in 5 s %zu, in 10 s %zu\n",
                        half_seconds * 500, fleet.most_in(seconds(5)), fleet.most_in(seconds(10)));
        }
    }
}

TEST(limit_service, partitioned_hosts_stay_within_the_bound) {
    offer_to({"h0", "h3", "h6"}, 100.0);
    fleet_.timers.advance(seconds(5));
    fleet_.measure();
    fleet_.partition({{"h0", "h1", "h2"}, {"h3", "h4", "h5"}, {"h6", "h7", "h8"}});
    fleet_.timers.advance(seconds(120));
    check_bounds("parted 3/3/3", partition_factor);
    fleet_.measure();
    fleet_.heal();
    fleet_.timers.advance(seconds(60));
    check_bounds("healed", partition_factor);
}

TEST(limit_service, isolated_host_stays_within_the_bound) {
    offer_to({"h0", "h8"}, 100.0);
    fleet_.timers.advance(seconds(5));
    fleet_.measure();
    fleet_.partition({{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}, {"h8"}});
    fleet_.timers.advance(seconds(120));
    check_bounds("parted 8/1", partition_factor);
}

TEST(limit_service, long_requests_count_against_the_concurrency_limit) {
    offer_to({"h0", "h1", "h2"}, 30.0, seconds(20));
    fleet_.timers.advance(seconds(5));
    fleet_.measure();
    fleet_.timers.advance(seconds(60));
    offer_to({"h4", "h5"}, 30.0, seconds(20));
    fleet_.timers.advance(seconds(60));
    check_bounds("long requests", 1.0);
}

TEST(limit_service, large_requests_are_charged_in_full) {
    limit_fleet fleet{hosts, customer_limits{0.0, 1000.0, 0}};
    fleet.offer("h0", 10.0, 5000.0, milliseconds(500));
    fleet.offer("h1", 10.0, 5000.0, milliseconds(500));
    fleet.timers.advance(seconds(5));
    fleet.measure();
    fleet.timers.advance(seconds(120));
    CHECK_TRUE(fleet.tokens_admitted <= 1000.0 * 121.0 + 2 * 5000.0);
    CHECK_TRUE(fleet.tokens_admitted >= 0.8 * 1000.0 * 120.0);
}
