#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int host_count = 9;
constexpr int data_centres = 3;
/// Required by users: a change takes effect on every host within this time.
constexpr duration apply_bound = seconds(2);

}  // namespace

TEST_GROUP(hosts_of_a_restored_store) {
    virtual_hosts fleet_;

    void setup() override {
        fleet_.store.name_eras();
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < host_count; ++i) {
            fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % data_centres));
        }
        fleet_.timers.advance(seconds(3));
    }

    /// The store loses `lost` changes, the last of which is a configuration and an upstream, and
    /// both are written again.
    void restore(int lost) {
        fleet_.store.copy();
        for (int i = 0; i < lost; ++i) {
            fleet_.store.put("other", std::to_string(i));
        }
        fleet_.store.put("config", "3");
        fleet_.store.put("servers/b", "ready");
        fleet_.timers.advance(seconds(3));
        fleet_.store.restore();
        fleet_.store.put("config", "3");
        fleet_.store.put("servers/b", "ready");
    }

    void check_change_is_in_force() {
        fleet_.store.put("config", "4");
        fleet_.store.put("servers/a", "draining");
        fleet_.store.put("servers/c", "ready");
        fleet_.timers.advance(apply_bound);
        for (const auto& [name, host] : fleet_.hosts) {
            LONGS_EQUAL(4, host->version());
            CHECK_TRUE(host->configuration_mirror.fresh());
            LONGS_EQUAL(2, host->upstreams.ready("s").size());
            CHECK_TRUE(host->upstreams.find("c") != nullptr);
        }
    }

    void check_all_hear_each_other() {
        for (const auto& [name, host] : fleet_.hosts) {
            LONGS_EQUAL(fleet_.hosts.size() - 1, host->registry.live_peers().size());
        }
    }
};

// Guards against hosts that take changes for old after the store has returned from an older copy.
TEST(hosts_of_a_restored_store, change_takes_effect_on_all_hosts_within_the_bound) {
    restore(60);
    check_change_is_in_force();
}

TEST(hosts_of_a_restored_store, change_at_overtaken_revisions_takes_effect_as_well) {
    restore(10);
    fleet_.store.put("config", "4");
    fleet_.store.put("servers/a", "draining");
    fleet_.store.put("servers/c", "ready");
    for (int i = 0; i < 100; ++i) {
        fleet_.store.put("other", std::to_string(i));
    }
    check_change_is_in_force();
}

TEST(hosts_of_a_restored_store, host_that_begins_to_watch_later_misses_no_change) {
    restore(60);
    for (const auto& [name, host] : fleet_.hosts) {
        if (host->views.watches_store()) {
            fleet_.network.disconnected.insert(host->registry_address);
        }
    }
    fleet_.timers.advance(seconds(6));
    fleet_.network.disconnected.clear();
    check_change_is_in_force();
}

TEST(hosts_of_a_restored_store, second_restoration_is_no_different) {
    restore(60);
    fleet_.timers.advance(milliseconds(300));
    fleet_.store.restore();
    fleet_.store.put("config", "3");
    fleet_.store.put("servers/b", "ready");
    check_change_is_in_force();
}

// Guards against hosts that are deaf to one that had registered after the copy.
TEST(hosts_of_a_restored_store, host_that_registered_after_the_copy_is_heard) {
    fleet_.store.copy();
    for (int i = 0; i < 20; ++i) {
        fleet_.store.put("other", std::to_string(i));
    }
    fleet_.add("h9", "dc1");
    fleet_.timers.advance(seconds(3));
    check_all_hear_each_other();
    fleet_.store.restore();
    for (int i = 0; i < 65; ++i) {
        fleet_.timers.advance(seconds(1));
        check_all_hear_each_other();
    }
}

TEST(hosts_of_a_restored_store, host_that_starts_afterwards_hears_all_and_is_heard) {
    restore(60);
    fleet_.timers.advance(milliseconds(100));
    fleet_.add("h9", "dc1");
    fleet_.timers.advance(seconds(3));
    check_all_hear_each_other();
    check_change_is_in_force();
}
