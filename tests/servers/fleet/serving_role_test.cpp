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
constexpr int hosts_each = 20;
/// Hosts of a data centre with four times the processor time of the others.
constexpr int large_each = 3;
/// Time in which traffic may begin after the start of a fleet.
constexpr duration start_time = seconds(5);
/// From the users' deployments: a change is in force on every host within this time.
constexpr duration apply_bound = seconds(4);

}  // namespace

TEST_GROUP(serving_role_of_a_large_fleet) {
    virtual_hosts fleet_;

    void setup() override {
        fleet_.serving.data_centres = data_centres;
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < data_centres * hosts_each; ++i) {
            const int rank = i / data_centres;
            fleet_.add(name_of(i), "dc" + std::to_string(i % data_centres),
                       rank < large_each ? 0.5 : 0.12);
        }
        fleet_.timers.advance(start_time);
    }

    static std::string name_of(int index) {
        return "h" + std::to_string(index);
    }
    virtual_host& host(const std::string& name) const {
        return *fleet_.hosts.at(name);
    }
    void cut(const std::string& name) {
        fleet_.network.cut.insert(host(name).registry_address);
    }
    std::string standing_by() const {
        for (const auto& [name, item] : fleet_.hosts) {
            if (!item->role.serving()) {
                return name;
            }
        }
        return "";
    }
    int serving_of(int data_centre) const {
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

TEST(serving_role_of_a_large_fleet, large_hosts_serve_and_all_others_stand_by) {
    const std::vector<std::string> serving = fleet_.serving_hosts();
    LONGS_EQUAL(data_centres * large_each, serving.size());
    for (const std::string& name : serving) {
        CHECK_TRUE(std::stoi(name.substr(1)) < data_centres * large_each);
    }
}

TEST(serving_role_of_a_large_fleet, every_host_names_the_serving_ones_to_callers) {
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_each, item->registry.hosts_for_callers().size());
    }
}

TEST(serving_role_of_a_large_fleet, change_is_in_force_on_hosts_that_stand_by) {
    fleet_.store.put("config", "2");
    fleet_.store.put("servers/a", "draining");
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(2, item->version());
        LONGS_EQUAL(0, item->upstreams.ready("s").size());
        CHECK_TRUE(item->configuration_mirror.fresh());
    }
}

TEST(serving_role_of_a_large_fleet, datagrams_grow_with_the_hosts_and_not_with_their_square) {
    // A question and its answer five times the two seconds for each host, and the heartbeats of the
    // serving ones among each other.
    const int serving = data_centres * large_each;
    const int bound = data_centres * hosts_each * 2 * 6 + serving * serving * 5 + serving * 2 * 10;
    CHECK_TRUE(datagrams_in(seconds(2)) <= bound);
}

TEST(serving_role_of_a_large_fleet, store_is_not_called_by_hosts_that_stand_by) {
    fleet_.timers.advance(seconds(5));
    const int before = fleet_.store.calls;
    fleet_.timers.advance(seconds(9));
    // Watchers poll two prefixes twice a second; serving hosts renew their entry.
    CHECK_TRUE(fleet_.store.calls - before <= data_centres * 2 * 2 * 9 + data_centres * large_each);
}

TEST(serving_role_of_a_large_fleet, silent_serving_host_is_left_out_everywhere_and_replaced) {
    cut("h0");
    fleet_.timers.advance(milliseconds(3'000));
    for (const auto& [name, item] : fleet_.hosts) {
        if (name != "h0") {
            LONGS_EQUAL(data_centres * large_each - 1, item->registry.hosts_for_callers().size());
        }
    }
    fleet_.timers.advance(seconds(8));
    LONGS_EQUAL(large_each, serving_of(0));
}

TEST(serving_role_of_a_large_fleet, data_centre_without_serving_hosts_gets_new_ones) {
    cut("h0");
    cut("h5");
    cut("h10");
    fleet_.timers.advance(seconds(20));
    LONGS_EQUAL(large_each, serving_of(0));
}

TEST(serving_role_of_a_large_fleet, loss_of_all_serving_hosts_makes_few_others_serve) {
    for (const std::string& name : fleet_.serving_hosts()) {
        cut(name);
    }
    fleet_.timers.advance(seconds(12));
    const std::size_t serving = fleet_.serving_hosts().size();
    CHECK_TRUE(serving >= data_centres);
    CHECK_TRUE(serving <= 3 * data_centres * large_each);
    for (const auto& [name, item] : fleet_.hosts) {
        if (fleet_.network.cut.count(item->registry_address) == 0) {
            CHECK_TRUE(item->configuration_mirror.fresh());
            CHECK_TRUE(item->registry.hosts_for_callers().size() >= data_centres);
        }
    }
}

TEST(serving_role_of_a_large_fleet, host_that_comes_back_leaves_no_more_serving_than_wanted) {
    cut("h0");
    fleet_.timers.advance(seconds(12));
    fleet_.network.cut.clear();
    fleet_.timers.advance(seconds(30));
    LONGS_EQUAL(data_centres * large_each, fleet_.serving_hosts().size());
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_each, item->registry.hosts_for_callers().size());
    }
}

TEST(serving_role_of_a_large_fleet, load_beyond_the_serving_hosts_brings_further_ones) {
    for (int i = 0; i < 100; ++i) {
        for (const auto& [name, item] : fleet_.hosts) {
            item->load.requests += item->role.serving() ? 6 : 0;
        }
        fleet_.timers.advance(milliseconds(100));
    }
    CHECK_TRUE(fleet_.serving_hosts().size() > data_centres * large_each);
}

TEST(serving_role_of_a_large_fleet, work_is_heard_by_serving_hosts_only) {
    engine_work work;
    work.key = 1;
    work.engine = "engine";
    work.target_gap = milliseconds(200);
    work.dispatched_at = fleet_.timers.now();
    host("h0").board.apply_own(work);
    fleet_.timers.advance(milliseconds(20));
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(item->role.serving() ? 1 : 0, item->board.load("engine").requests());
    }
}

TEST(serving_role_of_a_large_fleet,
     host_that_stands_by_alone_in_an_outage_serves_from_what_it_has) {
    const std::string alone = standing_by();
    for (const auto& [name, item] : fleet_.hosts) {
        if (name != alone) {
            cut(name);
        }
    }
    fleet_.timers.advance(seconds(8));
    CHECK_TRUE(host(alone).role.serving());
    LONGS_EQUAL(1, host(alone).registry.hosts_for_callers().size());
}

TEST(serving_role_of_a_large_fleet, callers_stay_with_the_serving_hosts_while_the_store_is_away) {
    // A caller keeps an answer for up to three lifetimes: one that was sent to a host that stands
    // by would be served there, without knowledge of the load, long after the store's return.
    fleet_.store.down = true;
    fleet_.timers.advance(prefix_mirror_settings().trust_for + seconds(1));
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(data_centres * large_each, item->registry.hosts_for_callers().size());
    }
    LONGS_EQUAL(data_centres * large_each, fleet_.serving_hosts().size());
}

TEST(serving_role_of_a_large_fleet, host_that_has_just_started_names_the_hosts_of_the_directory) {
    virtual_host& late = fleet_.add("h500", "dc0", 0.12);
    fleet_.timers.advance(milliseconds(10));
    LONGS_EQUAL(data_centres * large_each, late.registry.hosts_for_callers().size());
    CHECK_FALSE(late.role.serving());
}

TEST(serving_role_of_a_large_fleet, host_that_begins_to_serve_does_not_rely_on_the_loads_it_knows) {
    CHECK_TRUE(host("h0").registry.knows_all_work());
    CHECK_FALSE(host(standing_by()).registry.knows_all_work());
    virtual_host& begins = host(standing_by());
    begins.registry.start_serving();
    fleet_.timers.advance(milliseconds(500));
    CHECK_FALSE(begins.registry.knows_all_work());
    fleet_.timers.advance(milliseconds(1'000));
    CHECK_TRUE(begins.registry.knows_all_work());
}

TEST(serving_role_of_a_large_fleet, catalogue_larger_than_a_datagram_reaches_every_host) {
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

TEST(serving_role_of_a_large_fleet, large_configuration_brings_no_calls_from_hosts_that_stand_by) {
    fleet_.large_configuration = true;
    const int before = fleet_.store.calls;
    fleet_.store.put("config", "2");
    fleet_.timers.advance(apply_bound);
    for (const auto& [name, item] : fleet_.hosts) {
        LONGS_EQUAL(2, item->version());
    }
    // Watchers poll two prefixes twice a second; each serving host may read the store once.
    CHECK_TRUE(fleet_.store.calls - before <= data_centres * (2 * 2 * 4 + large_each * 2));
}
