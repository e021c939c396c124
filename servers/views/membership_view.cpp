#include "servers/views/membership_view.hpp"

#include "core/hashing/rendezvous.hpp"
#include "core/upstreams/upstream.hpp"
#include "servers/membership/membership_service.hpp"
#include "servers/peer_transport.hpp"

namespace fuchsiaquay {

const member_update& membership_view::host() const {
    return members_.self();
}

std::vector<member_update> membership_view::live_hosts() const {
    std::vector<member_update> hosts;
    for (const data_centre_id& data_centre : members_.data_centres()) {
        for (const host_id& id : members_.live_hosts(data_centre)) {
            if (const auto member = members_.find(id)) {
                hosts.push_back(*member);
            }
        }
    }
    return hosts;
}

std::optional<member_update> membership_view::find(const host_id& host) const {
    if (host == members_.self().host) {
        return members_.self();
    }
    return members_.find(host);
}

std::optional<member_update> membership_view::owner_of(const upstream& target) const {
    std::vector<host_id> candidates = members_.live_hosts(target.data_centre);
    if (candidates.empty()) {
        for (const member_update& member : live_hosts()) {
            candidates.push_back(member.host);
        }
    }
    const host_id owner = rendezvous_owner(target.id.value(), candidates);
    return owner.empty() ? std::nullopt : find(owner);
}

host_id membership_view::self() const {
    return members_.self().host;
}

data_centre_id membership_view::data_centre() const {
    return members_.self().data_centre;
}

std::vector<member_update> membership_view::live() const {
    std::vector<member_update> hosts;
    for (const host_id& id : members_.live_hosts(data_centre())) {
        if (const auto member = find(id)) {
            hosts.push_back(*member);
        }
    }
    return hosts;
}

bool membership_view::alive(const host_id& host) const {
    return find(host).has_value();
}

void membership_view::send(const host_id& host, const peer_message& message) {
    if (const auto member = find(host)) {
        transport_.send(*member, message);
    }
}

}  // namespace fuchsiaquay
