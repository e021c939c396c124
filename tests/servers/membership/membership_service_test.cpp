#include "servers/membership/membership_service.hpp"

#include <memory>

#include "tests/servers/simulated_network.hpp"

// Included after the standard headers because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::seconds;

namespace {

struct service_node {
    service_node(simulated_network& network, counting_log& log, const std::string& name)
        : transport(network, host_id(name)),
          members(network.timers, transport, log, membership_settings(),
                  simulated_network::place(name, "a"), 1) {
        transport.on_message([this](const host_id& sender, const peer_message& message) {
            members.receive(sender, std::get<gossip_message>(message));
        });
        members.set_seed_peers({simulated_network::place("h1", "a")});
    }
    simulated_network::transport transport;
    membership_service members;
};

}  // namespace

TEST_GROUP(membership_service) {
    simulated_network network_;
    counting_log log_;
    service_node first_{network_, log_, "h1"};
    service_node second_{network_, log_, "h2"};
    data_centre_id centre_{"a"};
};

TEST(membership_service, second_host_joins_through_the_seed_peer) {
    int changes = 0;
    first_.members.on_change([&](const member_change&) { ++changes; });
    network_.timers.advance(seconds(3));
    LONGS_EQUAL(2, first_.members.live_hosts(centre_).size());
    LONGS_EQUAL(2, second_.members.live_hosts(centre_).size());
    CHECK_TRUE(changes >= 1);
    CHECK_TRUE(log_.lines["member_change"] >= 2);
}

TEST(membership_service, stopped_host_is_not_found_by_other_hosts) {
    network_.timers.advance(seconds(3));
    second_.members.leave();
    network_.timers.advance(seconds(1));
    LONGS_EQUAL(1, first_.members.live_hosts(centre_).size());
    CHECK_TRUE(first_.members.find(host_id("h2")).has_value());
    second_.members.stop();
    network_.timers.advance(seconds(1));
    CHECK_FALSE(first_.members.find(host_id("h2")).has_value());
}
