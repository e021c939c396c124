#include "core/fleet/announcement_routes.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "core/fleet/announcement_peer.hpp"
#include "core/hashing/rendezvous.hpp"
#include "core/identity/names.hpp"

namespace fuchsiaquay {

namespace {

/// Data centres with at most this many hosts are sent to directly: forwarding adds latency and is
/// only worthwhile if it saves many messages.
constexpr std::size_t max_direct_hosts = 3;

/// Host among `hosts` that forwards the announcements of `sender`; null if none was heard recently.
const host_record* choose_forwarder(const std::string& sender,
                                    const std::vector<const announcement_peer*>& hosts) {
    std::vector<host_id> candidates;
    for (const announcement_peer* peer : hosts) {
        if (peer->heard_recently) {
            candidates.emplace_back(peer->record.host);
        }
    }
    const host_id owner = rendezvous_owner(sender, candidates);
    const auto found = std::find_if(
        hosts.begin(), hosts.end(),
        [&owner](const announcement_peer* peer) { return peer->record.host == owner.value(); });
    return found == hosts.end() ? nullptr : &(*found)->record;
}

}  // namespace

announcement_routes plan_announcement_routes(const host_record& self,
                                             const std::vector<announcement_peer>& peers) {
    announcement_routes result;
    std::map<std::string, std::vector<const announcement_peer*>> remote_hosts;
    for (const announcement_peer& peer : peers) {
        if (peer.record.data_centre == self.data_centre) {
            result.direct.push_back(peer.record.datagram_address);
        } else {
            remote_hosts[peer.record.data_centre].push_back(&peer);
        }
    }
    for (const auto& [data_centre, hosts] : remote_hosts) {
        const host_record* forwarding_host =
            hosts.size() > max_direct_hosts ? choose_forwarder(self.host, hosts) : nullptr;
        if (forwarding_host != nullptr) {
            result.forwarders.push_back(forwarding_host->datagram_address);
            continue;
        }
        for (const announcement_peer* peer : hosts) {
            result.direct.push_back(peer->record.datagram_address);
        }
    }
    return result;
}

}  // namespace fuchsiaquay
