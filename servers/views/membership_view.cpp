#include "servers/views/membership_view.hpp"

#include "core/ownership/ownership.hpp"
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
    const ownership owners(
        [this](const data_centre_id& centre) { return members_.live_hosts(centre); },
        [this] { return members_.data_centres(); });
    const host_id owner = owners.owner_of(target);
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
