#include "servers/upstreams/upstream_service.hpp"

#include <memory>
#include <vector>

#include "servers/membership/membership_service.hpp"
#include "servers/upstreams/host_list_source.hpp"
#include "tests/servers/simulated_network.hpp"

// Included after the standard headers because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::seconds;

namespace {

constexpr duration poll_period = seconds(1);
/// Required by the specification: a leaving upstream gets no new work after this time.
constexpr duration leaving_bound = seconds(3);

class counted_list final : public host_list_source {
public:
    void read(list_handler done) override {
        ++reads;
        done(failure, failure.empty() ? upstreams : std::vector<upstream>());
    }
    std::vector<upstream> upstreams;
    std::string failure;
    int reads = 0;
};

struct catalogue_node {
    catalogue_node(simulated_network& network, counting_log& log, counted_list& list,
                   const std::string& name)
        : transport(network, host_id(name)),
          members(network.timers, transport, log, membership_settings(),
                  simulated_network::place(name, "a"), std::hash<std::string>()(name)),
          upstreams(network.timers, transport, log, members, list, poll_period) {
        transport.on_message([this](const host_id& sender, const peer_message& message) {
            if (const auto* gossip = std::get_if<gossip_message>(&message)) {
                members.receive(sender, *gossip);
            } else {
                upstreams.receive(sender, std::get<upstream_update>(message));
            }
        });
        members.set_seed_peers({simulated_network::place("h0", "a")});
    }
    simulated_network::transport transport;
    membership_service members;
    upstream_service upstreams;
};

}  // namespace

TEST_GROUP(upstream_service) {
    static constexpr int hosts = 8;
    simulated_network network_;
    counting_log log_;
    counted_list list_;
    std::vector<std::unique_ptr<catalogue_node>> nodes_;

    void setup() override {
        for (int i = 0; i < 3; ++i) {
            upstream engine;
            engine.id = upstream_id("engine-" + std::to_string(i));
            list_.upstreams.push_back(engine);
        }
        for (int i = 0; i < hosts; ++i) {
            nodes_.push_back(
                std::make_unique<catalogue_node>(network_, log_, list_, "h" + std::to_string(i)));
        }
        network_.timers.advance(seconds(20));
    }

    /// Number of hosts on which the engine has the given state.
    int hosts_where(const upstream_id& id, bool present, bool leaving) const {
        int count = 0;
        for (const auto& node : nodes_) {
            const auto found = node->upstreams.find(id);
            count += found.has_value() == present && (!found || found->leaving == leaving);
        }
        return count;
    }

    int poller() const {
        int index = 0;
        while (!nodes_[static_cast<std::size_t>(index)]->upstreams.is_poller()) {
            ++index;
        }
        return index;
    }
};

TEST(upstream_service, every_host_knows_the_list_that_two_hosts_read) {
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-1"), true, false));
    const int before = list_.reads;
    network_.timers.advance(seconds(10));
    LONGS_EQUAL(20, list_.reads - before);
}

TEST(upstream_service, leaving_upstream_is_known_everywhere_within_three_seconds) {
    list_.upstreams[1].leaving = true;
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-1"), true, true));
}

TEST(upstream_service, drain_by_an_operator_is_known_everywhere_within_three_seconds) {
    for (const auto& node : nodes_) {
        node->upstreams.set_overrides({{upstream_id("engine-2"), true, std::nullopt}});
    }
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-2"), true, true));
}

TEST(upstream_service, crash_of_a_poller_delays_nothing) {
    const int crashed = poller();
    network_.disconnect("h" + std::to_string(crashed));
    nodes_.erase(nodes_.begin() + crashed);
    list_.upstreams[1].leaving = true;
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts - 1, hosts_where(upstream_id("engine-1"), true, true));
}

TEST(upstream_service, new_poller_after_a_crash_serves_later_hosts) {
    const int crashed = poller();
    network_.disconnect("h" + std::to_string(crashed));
    nodes_.erase(nodes_.begin() + crashed);
    network_.timers.advance(seconds(20));
    list_.upstreams.pop_back();
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts - 1, hosts_where(upstream_id("engine-2"), false, false));
}

TEST(upstream_service, poller_serves_again_after_a_partition) {
    const host_id partitioned("h" + std::to_string(poller()));
    network_.loses = [partitioned](const host_id& from, const host_id& to, const peer_message&) {
        return from == partitioned || to == partitioned;
    };
    network_.timers.advance(seconds(30));
    network_.loses = nullptr;
    network_.timers.advance(seconds(60));
    CHECK_TRUE(nodes_[static_cast<std::size_t>(poller())]->members.self().host == partitioned);
    list_.upstreams[1].leaving = true;
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-1"), true, true));
    list_.upstreams.pop_back();
    network_.timers.advance(leaving_bound);
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-2"), false, false));
}

TEST(upstream_service, lost_update_is_fetched_after_a_reminder) {
    network_.loses = [](const host_id&, const host_id& to, const peer_message& message) {
        return to == host_id("h5") && std::holds_alternative<upstream_update>(message);
    };
    list_.upstreams[1].leaving = true;
    network_.timers.advance(seconds(3));
    const int informed = hosts_where(upstream_id("engine-1"), true, true);
    network_.loses = nullptr;
    network_.timers.advance(seconds(11));
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-1"), true, true));
    CHECK_TRUE(informed >= hosts - 1);
}

TEST(upstream_service, unreadable_list_keeps_the_last_one) {
    list_.failure = "time-out";
    network_.timers.advance(seconds(60));
    LONGS_EQUAL(hosts, hosts_where(upstream_id("engine-1"), true, false));
}

TEST(upstream_service, pollers_that_disagree_leave_the_upstream_leaving) {
    upstream_catalogue catalogue;
    upstream_update live;
    live.version = 5;
    live.changed = {list_.upstreams[0]};
    upstream_update leaving = live;
    leaving.changed[0].leaving = true;
    catalogue.apply(host_id("a"), live);
    catalogue.apply(host_id("b"), leaving);
    catalogue.apply(host_id("a"), live);
    CHECK_TRUE(catalogue.find(upstream_id("engine-0"))->leaving);
}
