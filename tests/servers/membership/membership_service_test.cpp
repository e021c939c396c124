#include "servers/membership/membership_service.hpp"

#include <map>
#include <memory>

#include "servers/decision_log.hpp"
#include "servers/peer_transport.hpp"
#include "tests/servers/virtual_timer_service.hpp"

// After the standard headers, which its macros break.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::seconds;

namespace {

class counting_log final : public decision_log {
public:
    void write(level, std::string_view event, std::initializer_list<field>) override {
        ++lines[std::string(event)];
    }
    std::map<std::string, int> lines;
};

/// Delivers to the services registered by port, within the same virtual instant plus 1 ms.
class direct_transport final : public peer_transport {
public:
    using registry = std::map<std::uint16_t, membership_service*>;

    direct_transport(timer_service& timers, registry& services, host_id self)
        : timers_(timers), services_(services), self_(std::move(self)) {}

    void send(const member_update& to, const peer_message& message) override {
        timers_.after(std::chrono::milliseconds(1), [this, port = to.peer_port, message] {
            const auto found = services_.find(port);
            if (found != services_.end()) {
                found->second->receive(self_, std::get<gossip_message>(message));
            }
        });
    }
    void on_message(handler) override {}

private:
    timer_service& timers_;
    registry& services_;
    host_id self_;
};

}  // namespace

TEST_GROUP(membership_service) {
    virtual_timer_service timers_;
    counting_log log_;
    direct_transport::registry services_;
    std::vector<std::unique_ptr<direct_transport>> transports_;
    std::vector<std::unique_ptr<membership_service>> owned_;

    membership_service& start(const char* name, std::uint16_t port) {
        const member_update self{
            host_id(name), data_centre_id("a"), "127.0.0.1", port, 8000, 1, member_state::alive};
        member_update first_peer;
        first_peer.address = "127.0.0.1";
        first_peer.peer_port = 1;
        transports_.push_back(
            std::make_unique<direct_transport>(timers_, services_, host_id(name)));
        owned_.push_back(std::make_unique<membership_service>(timers_, *transports_.back(), log_,
                                                              membership_settings(), self, port));
        services_[port] = owned_.back().get();
        owned_.back()->set_first_peers({first_peer});
        return *owned_.back();
    }
};

TEST(membership_service, second_host_joins_through_the_first_peer) {
    membership_service& first = start("h1", 1);
    membership_service& second = start("h2", 2);
    int changes = 0;
    first.on_change([&](const member_change&) { ++changes; });
    timers_.advance(seconds(3));
    LONGS_EQUAL(2, first.live_hosts(data_centre_id("a")).size());
    LONGS_EQUAL(2, second.live_hosts(data_centre_id("a")).size());
    CHECK_TRUE(changes >= 1);
    CHECK_TRUE(log_.lines["member_change"] >= 2);
}

TEST(membership_service, stopped_host_is_not_found_by_the_other) {
    membership_service& first = start("h1", 1);
    membership_service& second = start("h2", 2);
    timers_.advance(seconds(3));
    second.leave();
    timers_.advance(seconds(1));
    LONGS_EQUAL(1, first.live_hosts(data_centre_id("a")).size());
    CHECK_TRUE(first.find(host_id("h2")).has_value());
    second.stop();
    timers_.advance(seconds(1));
    CHECK_FALSE(first.find(host_id("h2")).has_value());
}
