#include "servers/fleet/serving_role.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int data_centres = 5;
constexpr int hosts_per_data_centre = 20;
/// Number of hosts of each data centre with four times the processor share of the others.
constexpr int large_hosts_per_data_centre = 3;
/// Time after the start of a fleet at which traffic may begin.
constexpr duration start_time = seconds(5);
/// Required by users: a change takes effect on every host within this time.
constexpr duration apply_bound = seconds(4);
/// Required by users: callers are not directed to a host that ended this long ago. The smallest
/// stable_window_ms of their deployments and three seconds.
constexpr duration longest_named_after_the_end = seconds(6);

}  // namespace

TEST_GROUP(serving_role_in_a_large_fleet) {
    virtual_hosts fleet_;

    void setup() override {
        fleet_.serving.data_centres = data_centres;
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < data_centres * hosts_per_data_centre; ++i) {
            const int rank = i / data_centres;
            fleet_.add(name_of(i), "dc" + std::to_string(i % data_centres),
                       rank < large_hosts_per_data_centre ? 0.5 : 0.12);
        }
        fleet_.timers.advance(start_time);
    }

    static std::string name_of(int index) {
        return "h" + std::to_string(index);
    }
    virtual_host& host(const std::string& name) const {
        return *fleet_.hosts.at(name);
    }
    void disconnect(const std::string& name) {
        fleet_.network.disconnected.insert(host(name).registry_address);
    }
    std::string any_standby_host() const {
        for (const auto& [name, item] : fleet_.hosts) {
            if (!item->role.serving()) {
                return name;
            }
        }
        return "";
    }
    int serving_hosts_of(int data_centre) const {
        int count = 0;
        for (const std::string& name : fleet_.serving_hosts()) {
            count += std::stoi(name.substr(1)) % data_centres == data_centre ? 1 : 0;
        }
        return count;
    }
    int datagrams_in(duration time) {
        fleet_.network.sent.clear();
        fleet_.timers.advance(time);
        int count = 0;
        for (const auto& [link, sent] : fleet_.network.sent) {
            count += sent;
        }
        return count;
    }
};

TEST(serving_role_in_a_large_fleet, large_hosts_serve_and_all_others_are_on_standby) {
    const std::vector<std::string> serving = fleet_.serving_hosts();
    LONGS_EQUAL(data_centres * large_hosts_per_data_centre, serving.size());
    for (const std::string& name : serving) {
        CHECK_TRUE(std::stoi(name.substr(1)) < data_centres * large_hosts_per_data_centre);
    }
}

TEST(serving_role_in_a_large_fleet, every_host_directs_callers_to_the_serving_hosts) {
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_hosts_per_data_centre,
                    item->registry.hosts_for_callers().size());
    }
}

TEST(serving_role_in_a_large_fleet, change_takes_effect_on_standby_hosts) {
    fleet_.store.put("config", "2");
    fleet_.store.put("servers/a", "draining");
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(2, item->version());
        LONGS_EQUAL(0, item->upstreams.ready("s").size());
        CHECK_TRUE(item->configuration_mirror.fresh());
    }
}

TEST(serving_role_in_a_large_fleet, number_of_datagrams_is_linear_in_the_number_of_hosts) {
    // In two seconds, each host exchanges five requests and replies, and the serving hosts send
    // heartbeats to each other.
    const int serving = data_centres * large_hosts_per_data_centre;
    const int bound =
        data_centres * hosts_per_data_centre * 2 * 6 + serving * serving * 5 + serving * 2 * 10;
    CHECK_TRUE(datagrams_in(seconds(2)) <= bound);
}

TEST(serving_role_in_a_large_fleet, standby_hosts_do_not_call_the_store) {
    fleet_.timers.advance(seconds(5));
    const int before = fleet_.store.calls;
    fleet_.timers.advance(seconds(9));
    // Watching hosts poll two prefixes twice a second. Serving hosts renew the lease of their
    // entry.
    CHECK_TRUE(fleet_.store.calls - before <=
               data_centres * 2 * 2 * 9 + data_centres * large_hosts_per_data_centre);
}

TEST(serving_role_in_a_large_fleet, silent_serving_host_is_omitted_by_all_hosts_and_replaced) {
    disconnect("h0");
    fleet_.timers.advance(milliseconds(3'000));
    for (const auto& [name, item] : fleet_.hosts) {
        if (name != "h0") {
            LONGS_EQUAL(data_centres * large_hosts_per_data_centre - 1,
                        item->registry.hosts_for_callers().size());
        }
    }
    fleet_.timers.advance(seconds(8));
    LONGS_EQUAL(large_hosts_per_data_centre, serving_hosts_of(0));
}

TEST(serving_role_in_a_large_fleet, data_centre_without_serving_hosts_gets_new_ones) {
    disconnect("h0");
    disconnect("h5");
    disconnect("h10");
    fleet_.timers.advance(seconds(20));
    LONGS_EQUAL(large_hosts_per_data_centre, serving_hosts_of(0));
}

TEST(serving_role_in_a_large_fleet, few_other_hosts_serve_after_all_serving_hosts_fail) {
    for (const std::string& name : fleet_.serving_hosts()) {
        disconnect(name);
    }
    fleet_.timers.advance(seconds(12));
    const std::size_t serving = fleet_.serving_hosts().size();
    CHECK_TRUE(serving >= data_centres);
    CHECK_TRUE(serving <= 3 * data_centres * large_hosts_per_data_centre);
    for (const auto& [name, item] : fleet_.hosts) {
        if (fleet_.network.disconnected.count(item->registry_address) == 0) {
            CHECK_TRUE(item->configuration_mirror.fresh());
            CHECK_TRUE(item->registry.hosts_for_callers().size() >= data_centres);
        }
    }
}

TEST(serving_role_in_a_large_fleet, number_of_serving_hosts_is_as_required_after_a_host_returns) {
    disconnect("h0");
    fleet_.timers.advance(seconds(12));
    fleet_.network.disconnected.clear();
    fleet_.timers.advance(seconds(30));
    LONGS_EQUAL(data_centres * large_hosts_per_data_centre, fleet_.serving_hosts().size());
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_hosts_per_data_centre,
                    item->registry.hosts_for_callers().size());
    }
}

TEST(serving_role_in_a_large_fleet, excessive_load_adds_serving_hosts) {
    for (int i = 0; i < 100; ++i) {
        for (const auto& [name, item] : fleet_.hosts) {
            item->load.requests += item->role.serving() ? 6 : 0;
        }
        fleet_.timers.advance(milliseconds(100));
    }
    CHECK_TRUE(fleet_.serving_hosts().size() > data_centres * large_hosts_per_data_centre);
}

TEST(serving_role_in_a_large_fleet, work_is_announced_to_serving_hosts_only) {
    engine_work work;
    work.key = 1;
    work.engine = "engine";
    work.target_gap = milliseconds(200);
    work.dispatched_at = fleet_.timers.now();
    host("h0").work_table.apply_own_works({work});
    fleet_.timers.advance(milliseconds(20));
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(item->role.serving() ? 1 : 0, item->work_table.load("engine").requests());
    }
}

TEST(serving_role_in_a_large_fleet, isolated_standby_host_serves_with_its_last_configuration) {
    const std::string alone = any_standby_host();
    for (const auto& [name, item] : fleet_.hosts) {
        if (name != alone) {
            disconnect(name);
        }
    }
    fleet_.timers.advance(seconds(8));
    CHECK_TRUE(host(alone).role.serving());
    LONGS_EQUAL(1, host(alone).registry.hosts_for_callers().size());
}

/// Load: all hosts but some on standby are killed, with and without the store.
TEST(serving_role_in_a_large_fleet, directory_never_names_hosts_gone_for_seconds) {
    std::set<std::string> left;
    for (const auto& [name, item] : fleet_.hosts) {
        if (!item->role.serving() && left.size() < 5) {
            left.insert(name);
        }
    }
    for (const bool store_down : {true, false}) {
        fleet_.store.down = store_down;
        for (const auto& [name, item] : fleet_.hosts) {
            if (left.count(name) == 0) {
                disconnect(name);
            }
        }
        fleet_.timers.advance(longest_named_after_the_end);
        for (int i = 0; i < 12; ++i) {
            fleet_.timers.advance(milliseconds(250));
            for (const std::string& name : left) {
                for (const host_record& named : host(name).registry.hosts_for_callers()) {
                    CHECK_TRUE(left.count(named.host) > 0);
                }
            }
        }
        left.erase(left.begin());
        left.erase(left.begin());
    }
}

TEST(serving_role_in_a_large_fleet, callers_stay_with_the_serving_hosts_during_a_store_outage) {
    // A caller uses a directory answer for up to three times its lifetime. If it were directed to a
    // host on standby, it would be served there without knowledge of the load long after the
    // outage.
    fleet_.store.down = true;
    fleet_.timers.advance(prefix_mirror_settings().freshness_limit + seconds(1));
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_hosts_per_data_centre,
                    item->registry.hosts_for_callers().size());
    }
    LONGS_EQUAL(data_centres * large_hosts_per_data_centre, fleet_.serving_hosts().size());
}

TEST(serving_role_in_a_large_fleet,
     newly_started_host_directs_callers_to_the_hosts_of_the_directory) {
    virtual_host& late_host = fleet_.add("h500", "dc0", 0.12);
    fleet_.timers.advance(milliseconds(10));
    LONGS_EQUAL(data_centres * large_hosts_per_data_centre,
                late_host.registry.hosts_for_callers().size());
    CHECK_FALSE(late_host.role.serving());
}

TEST(serving_role_in_a_large_fleet, host_that_starts_to_serve_does_not_rely_on_known_loads) {
    CHECK_TRUE(host("h0").registry.knows_all_work());
    CHECK_FALSE(host(any_standby_host()).registry.knows_all_work());
    virtual_host& starting = host(any_standby_host());
    starting.registry.start_serving();
    fleet_.timers.advance(milliseconds(500));
    CHECK_FALSE(starting.registry.knows_all_work());
    fleet_.timers.advance(milliseconds(1'000));
    CHECK_TRUE(starting.registry.knows_all_work());
}

TEST(serving_role_in_a_large_fleet, catalogue_larger_than_a_datagram_reaches_every_host) {
    constexpr int upstreams = 700;
    for (int i = 0; i < upstreams; ++i) {
        fleet_.store.put("servers/u" + std::to_string(i), "ready");
    }
    fleet_.add("h500", "dc0", 0.12);
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(upstreams + 1, item->upstreams.ready("s").size());
    }
    fleet_.store.put("servers/u7", "draining");
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(upstreams, item->upstreams.ready("s").size());
        CHECK_TRUE(item->upstream_mirror.age() < seconds(2));
    }
}

TEST(serving_role_in_a_large_fleet, large_configuration_causes_no_store_calls_from_standby_hosts) {
    fleet_.large_configuration = true;
    const int before = fleet_.store.calls;
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(2, item->version());
    }
    // Watching hosts poll two prefixes twice a second. Each serving host may read the store once.
    CHECK_TRUE(fleet_.store.calls - before <=
               data_centres * (2 * 2 * 4 + large_hosts_per_data_centre * 2));
}
