#include <CppUTest/TestHarness.h>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// From the users' deployments: a change is in force on every host within this time.
constexpr duration apply_bound = seconds(2);

}  // namespace

TEST_GROUP(store_view_sync) {
    virtual_hosts fleet_;

    void start(int hosts, int data_centres) {
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < hosts; ++i) {
            fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % data_centres));
        }
        fleet_.timers.advance(seconds(3));
    }

    bool all_have(std::int64_t version) const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->version() != version) {
                return false;
            }
        }
        return true;
    }

    virtual_host* a_follower() const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (!host->views.watches_store()) {
                return host.get();
            }
        }
        return nullptr;
    }
    virtual_host* a_watcher() const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->views.watches_store()) {
                return host.get();
            }
        }
        return nullptr;
    }
};

TEST(store_view_sync, one_host_of_each_data_centre_watches_and_all_are_fresh) {
    start(9, 3);
    LONGS_EQUAL(3, fleet_.watchers());
    CHECK_TRUE(all_have(1));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
        LONGS_EQUAL(1, host->upstreams.ready("s").size());
    }
}

TEST(store_view_sync, change_is_in_force_everywhere_within_the_bound) {
    start(9, 3);
    fleet_.store.put("config", "2");
    fleet_.store.put("servers/a", "draining");
    fleet_.timers.advance(apply_bound);
    CHECK_TRUE(all_have(2));
    for (const auto& [name, host] : fleet_.hosts) {
        LONGS_EQUAL(0, host->upstreams.ready("s").size());
    }
}

TEST(store_view_sync, calls_to_the_store_grow_with_data_centres_and_not_with_hosts) {
    start(9, 3);
    const int before = fleet_.store.calls;
    fleet_.timers.advance(seconds(10));
    const int nine = fleet_.store.calls - before;
    virtual_hosts small = {};
    virtual_hosts& large = small;
    large.store.put("config", "1");
    for (int i = 0; i < 84; ++i) {
        large.add("h" + std::to_string(i), "dc" + std::to_string(i % 3));
    }
    large.timers.advance(seconds(5));
    const int start_calls = large.store.calls;
    large.timers.advance(seconds(10));
    // Only renewals of the hosts' own entries grow with them.
    CHECK_TRUE(large.store.calls - start_calls <= nine + 84 * 3);
}

TEST(store_view_sync, outage_of_the_store_brings_few_calls_from_a_large_fleet) {
    constexpr int hosts = 84;
    constexpr int data_centres = 3;
    start(hosts, data_centres);
    const int before = fleet_.store.calls;
    fleet_.store.down = true;
    fleet_.timers.advance(seconds(8));
    // Watchers try five times a second, two more hosts of a data centre once, all others twice in
    // the outage; each has two prefixes. Renewals and the list of hosts come on top, as ever.
    const int watchers = data_centres * 2 * 40;
    const int first = data_centres * 2 * 2 * 8;
    const int further = hosts * 2 * 2;
    const int renewals = hosts * 3;
    CHECK_TRUE(fleet_.store.calls - before <= watchers + first + further + renewals);
    fleet_.store.down = false;
    fleet_.timers.advance(seconds(2));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
    }
}

TEST(store_view_sync, host_cut_from_the_others_watches_the_store_itself) {
    start(9, 3);
    virtual_host* alone = a_follower();
    fleet_.network.cut.insert(alone->registry_address);
    fleet_.timers.advance(seconds(8));
    CHECK_TRUE(alone->configuration_mirror.fresh());
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    LONGS_EQUAL(2, alone->version());
}

TEST(store_view_sync, silent_watcher_is_replaced) {
    start(9, 3);
    fleet_.network.cut.insert(a_watcher()->registry_address);
    fleet_.timers.advance(seconds(4));
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    CHECK_TRUE(all_have(2));
}

TEST(store_view_sync, nobody_is_fresh_once_the_store_is_away_for_the_trusted_time) {
    start(9, 3);
    fleet_.store.down = true;
    fleet_.timers.advance(prefix_mirror_settings().trust_for);
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_FALSE(host->configuration_mirror.fresh());
    }
}

TEST(store_view_sync, answer_that_was_delayed_does_not_make_a_copy_look_newer) {
    start(2, 1);
    virtual_host* follower = a_follower();
    // Answers now take longer than any copy may be trusted.
    fleet_.network.delay = seconds(6);
    fleet_.store.down = true;
    fleet_.timers.advance(seconds(20));
    CHECK_FALSE(follower->configuration_mirror.fresh());
}

TEST(store_view_sync, host_that_fetched_the_configuration_is_fresh_without_another_question) {
    start(9, 3);
    virtual_host& late = fleet_.add("late", "dc0");
    for (int i = 0; i < 400 && late.version() == 0; ++i) {
        fleet_.timers.advance(milliseconds(5));
    }
    LONGS_EQUAL(1, late.version());
    CHECK_TRUE(late.configuration_mirror.fresh());
}
