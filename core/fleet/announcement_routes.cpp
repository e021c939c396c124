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

/// Hosts of a data centre that are still reached directly: forwarding makes news later and pays
/// only where it saves many messages.
constexpr std::size_t most_direct_hosts = 3;

/// The host of one data centre that passes `sender`'s announcements on; null for none.
const host_record* forwarder(const std::string& sender,
                             const std::vector<const announcement_peer*>& hosts) {
    std::vector<host_id> lately;
    for (const announcement_peer* peer : hosts) {
        if (peer->heard_recently) {
            lately.emplace_back(peer->record.host);
        }
    }
    const host_id owner = rendezvous_owner(sender, lately);
    const auto found = std::find_if(
        hosts.begin(), hosts.end(),
        [&owner](const announcement_peer* peer) { return peer->record.host == owner.value(); });
    return found == hosts.end() ? nullptr : &(*found)->record;
}

}  // namespace

announcement_routes plan_announcement_routes(const host_record& self,
                                             const std::vector<announcement_peer>& peers) {
    announcement_routes result;
    std::map<std::string, std::vector<const announcement_peer*>> elsewhere;
    for (const announcement_peer& peer : peers) {
        if (peer.record.data_centre == self.data_centre) {
            result.direct.push_back(peer.record.datagram_address);
        } else {
            elsewhere[peer.record.data_centre].push_back(&peer);
        }
    }
    for (const auto& [data_centre, hosts] : elsewhere) {
        const host_record* first =
            hosts.size() > most_direct_hosts ? forwarder(self.host, hosts) : nullptr;
        if (first != nullptr) {
            result.forwarders.push_back(first->datagram_address);
            continue;
        }
        for (const announcement_peer* peer : hosts) {
            result.direct.push_back(peer->record.datagram_address);
        }
    }
    return result;
}

}  // namespace fuchsiaquay
