#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "servers/decision_log.hpp"
#include "servers/peer_transport.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay {

/// Log that counts lines per event.
class counting_log final : public decision_log {
public:
    void write(level, std::string_view event, std::initializer_list<field>) override {
        ++lines[std::string(event)];
    }
    std::map<std::string, int> lines;
};

/// Network between the hosts of a test, in virtual time with a delay of 1 ms.
class simulated_network {
public:
    class transport final : public peer_transport {
    public:
        transport(simulated_network& network, host_id self)
            : network_(network), self_(std::move(self)) {}

        void send(const member_update& to, const peer_message& message) override {
            if (network_.loses && network_.loses(self_, to.host, message)) {
                return;
            }
            // The callback must not refer to the transport, because its host may crash while the
            // message is in flight.
            network_.timers.after(
                std::chrono::milliseconds(1),
                [&network = network_, sender = self_, address = to.address, message] {
                    const auto found = network.receivers_.find(address);
                    if (found != network.receivers_.end()) {
                        found->second(sender, message);
                    }
                });
        }
        void on_message(handler receive) override {
            network_.receivers_[self_.value()] = std::move(receive);
        }

    private:
        simulated_network& network_;
        host_id self_;
    };

    /// Membership entry of a host whose address is its name.
    static member_update place(const std::string& name, const std::string& data_centre,
                               std::uint64_t incarnation = 1) {
        member_update self;
        self.host = host_id(name);
        self.address = name;
        self.data_centre = data_centre_id(data_centre);
        self.incarnation = incarnation;
        return self;
    }

    void disconnect(const std::string& name) { receivers_.erase(name); }

    virtual_timer_service timers;
    std::function<bool(const host_id& from, const host_id& to, const peer_message&)> loses;

private:
    std::map<std::string, peer_transport::handler> receivers_;
};

}  // namespace fuchsiaquay
