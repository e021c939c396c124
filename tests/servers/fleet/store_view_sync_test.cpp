#include <CppUTest/TestHarness.h>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Required by users: a change takes effect on every host within this time.
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

    virtual_host* any_follower() const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (!host->views.watches_store()) {
                return host.get();
            }
        }
        return nullptr;
    }
    virtual_host* any_watcher() const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->views.watches_store()) {
                return host.get();
            }
        }
        return nullptr;
    }
};

TEST(store_view_sync, one_host_per_data_centre_watches_and_all_copies_are_fresh) {
    start(9, 3);
    LONGS_EQUAL(3, fleet_.watchers());
    CHECK_TRUE(all_have(1));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
        LONGS_EQUAL(1, host->upstreams.ready("s").size());
    }
}

TEST(store_view_sync, change_takes_effect_on_all_hosts_within_the_bound) {
    start(9, 3);
    fleet_.store.put("config", "2");
    fleet_.store.put("servers/a", "draining");
    fleet_.timers.advance(apply_bound);
    CHECK_TRUE(all_have(2));
    for (const auto& [name, host] : fleet_.hosts) {
        LONGS_EQUAL(0, host->upstreams.ready("s").size());
    }
}

TEST(store_view_sync, store_calls_grow_with_data_centres_and_not_with_hosts) {
    start(9, 3);
    const int before = fleet_.store.calls;
    fleet_.timers.advance(seconds(10));
    const int calls_of_nine_hosts = fleet_.store.calls - before;
    virtual_hosts small = {};
    virtual_hosts& large = small;
    large.store.put("config", "1");
    for (int i = 0; i < 84; ++i) {
        large.add("h" + std::to_string(i), "dc" + std::to_string(i % 3));
    }
    large.timers.advance(seconds(5));
    const int start_calls = large.store.calls;
    large.timers.advance(seconds(10));
    // Only the lease renewals of the hosts' own entries grow with the number of hosts.
    CHECK_TRUE(large.store.calls - start_calls <= calls_of_nine_hosts + 84 * 3);
}

TEST(store_view_sync, store_outage_causes_few_calls_from_a_large_fleet) {
    constexpr int hosts = 84;
    constexpr int data_centres = 3;
    start(hosts, data_centres);
    const int before = fleet_.store.calls;
    fleet_.store.down = true;
    fleet_.timers.advance(seconds(8));
    // Watching hosts try five times a second, two more hosts of each data centre once a second, and
    // all others twice during the outage, for two prefixes each. Lease renewals and reads of the
    // directory are added.
    const int watchers = data_centres * 2 * 40;
    const int first_fallbacks = data_centres * 2 * 2 * 8;
    const int late_fallbacks = hosts * 2 * 2;
    const int renewals = hosts * 3;
    CHECK_TRUE(fleet_.store.calls - before <=
               watchers + first_fallbacks + late_fallbacks + renewals);
    fleet_.store.down = false;
    fleet_.timers.advance(seconds(2));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
    }
}

TEST(store_view_sync, isolated_host_watches_the_store_itself) {
    start(9, 3);
    virtual_host* alone = any_follower();
    fleet_.network.disconnected.insert(alone->registry_address);
    fleet_.timers.advance(seconds(8));
    CHECK_TRUE(alone->configuration_mirror.fresh());
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    LONGS_EQUAL(2, alone->version());
}

TEST(store_view_sync, silent_watcher_is_replaced) {
    start(9, 3);
    fleet_.network.disconnected.insert(any_watcher()->registry_address);
    fleet_.timers.advance(seconds(4));
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    CHECK_TRUE(all_have(2));
}

TEST(store_view_sync, no_copy_is_fresh_after_a_store_outage_of_the_trusted_time) {
    start(9, 3);
    fleet_.store.down = true;
    fleet_.timers.advance(prefix_mirror_settings().freshness_limit);
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_FALSE(host->configuration_mirror.fresh());
    }
}

TEST(store_view_sync, delayed_reply_does_not_make_a_copy_look_newer) {
    start(2, 1);
    virtual_host* follower = any_follower();
    // Replies now take longer than the maximum age of a trusted copy.
    fleet_.network.delay = seconds(6);
    fleet_.store.down = true;
    fleet_.timers.advance(seconds(20));
    CHECK_FALSE(follower->configuration_mirror.fresh());
}

TEST(store_view_sync, host_is_fresh_after_fetching_the_configuration_without_another_request) {
    start(9, 3);
    virtual_host& late = fleet_.add("late", "dc0");
    for (int i = 0; i < 400 && late.version() == 0; ++i) {
        fleet_.timers.advance(milliseconds(5));
    }
    LONGS_EQUAL(1, late.version());
    CHECK_TRUE(late.configuration_mirror.fresh());
}
