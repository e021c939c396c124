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

/// Runs the membership protocol on the control thread: drives its timers, sends its messages and
/// notifies observers of changes. The owner of the transport passes gossip messages to `receive`.
class membership_service {
public:
    using observer = std::function<void(const member_change&)>;

    /// The referenced services must outlive this object.
    membership_service(timer_service& timers, peer_transport& transport, decision_log& log,
                       membership_settings settings, const member_update& self, std::uint64_t seed);
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;
    ~membership_service();

    /// Replaces the seed peers, which come from the settings and from leases in the store.
    void set_seed_peers(std::vector<member_update> peers);
    void receive(const host_id& sender, const gossip_message& message);
    /// Adds an observer that is called for each change of any host, including this one.
    void on_change(observer changed);
    /// Announces that this host is leaving, so that it is omitted from directory answers.
    void leave();
    /// Announces that this process exits. Must be the last call before the transport is closed.
    void stop();

    /// Hosts of a data centre that are alive or suspect. Empty while the data centre is
    /// unreachable.
    std::vector<host_id> live_hosts(const data_centre_id& data_centre) const;
    /// Entry of a host with the address for messages. Empty if the host is unknown or dead.
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

/// Store key of the leased entry with the address of a host.
std::string node_key(const host_id& host);

}  // namespace fuchsiaquay
