#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/membership/membership.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class decision_log;
class peer_transport;

/// Runs the membership on the control thread: timers and gossip messages in, messages and change
/// events out. The owner of the transport hands gossip messages to `receive`.
class membership_service {
public:
    using observer = std::function<void(const member_change&)>;

    /// The services outlive this object.
    membership_service(timer_service& timers, peer_transport& transport, decision_log& log,
                       membership_settings settings, const member_update& self, std::uint64_t seed);
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;
    ~membership_service();

    /// Replaces the first peers, from settings and from leases in the store.
    void set_seed_peers(std::vector<member_update> peers);
    void receive(const host_id& sender, const gossip_message& message);
    /// Calls `changed` for each later change of any host, own state included.
    void on_change(observer changed);
    /// From now on this host is omitted from directory answers.
    void leave();
    /// Tells the peers that this process ends; last call before the transport closes.
    void stop();

    /// Hosts of a data centre that are alive or suspect, none while it cannot be reached.
    std::vector<host_id> live_hosts(const data_centre_id& data_centre) const;
    /// Where to send messages for a host; nothing if it is unknown or dead.
    std::optional<member_update> find(const host_id& host) const;
    std::vector<member_update> members() const;
    std::vector<data_centre_id> data_centres() const;
    bool reachable(const data_centre_id& data_centre) const;
    const member_update& self() const noexcept { return membership_.self(); }
    bool joined() const noexcept { return membership_.joined(); }

private:
    void tick();
    void flush();

    timer_service& timers_;
    peer_transport& transport_;
    decision_log& log_;
    membership membership_;
    std::vector<observer> observers_;
    timer_service::subscription timer_ = 0;
};

/// Store key under which a host leases its address for others to find.
std::string node_key(const host_id& host);

}  // namespace fuchsiaquay
