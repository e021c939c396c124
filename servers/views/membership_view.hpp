#pragma once

#include "servers/contracts/data_centre_peers.hpp"
#include "servers/journal/journal_peers.hpp"
#include "servers/reservation/owner_locator.hpp"
#include "servers/views/host_view.hpp"

namespace fuchsiaquay {

class membership_service;
class peer_transport;

/// Adapts the membership to the interfaces that other components use.
class membership_view final : public host_view,
                              public owner_locator,
                              public data_centre_peers,
                              public journal_peers {
public:
    /// The referenced objects must outlive the view.
    membership_view(const membership_service& members, peer_transport& transport)
        : members_(members), transport_(transport) {}

    const member_update& host() const override;
    std::vector<member_update> live_hosts() const override;
    std::optional<member_update> find(const host_id& host) const override;

    /// Owner by rendezvous hashing over the live hosts of the upstream's data centre, or over all
    /// live hosts if that data centre has none.
    std::optional<member_update> owner_of(const upstream& target) const override;

    host_id self() const override;
    data_centre_id data_centre() const override;
    std::vector<member_update> live() const override;

    bool alive(const host_id& host) const override;
    void send(const host_id& host, const peer_message& message) override;

private:
    const membership_service& members_;
    peer_transport& transport_;
};

}  // namespace fuchsiaquay
