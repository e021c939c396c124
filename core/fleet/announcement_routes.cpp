#include "core/fleet/announcement_routes.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/fleet/announcement_peer.hpp"
#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

namespace {

/// Hosts of a data centre that are still reached directly: forwarding makes news later and pays
/// only where it saves many messages.
constexpr std::size_t most_direct_hosts = 3;

/// The host of one data centre that passes `sender`'s announcements on; null for none.
const host_record* forwarder(const std::string& sender,
                             const std::vector<const announcement_peer*>& hosts) {
    const host_record* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const announcement_peer* peer : hosts) {
        const std::uint64_t weight = stable_hash(peer->record.host, stable_hash(sender));
        if (peer->heard_lately && (best == nullptr || weight > best_weight)) {
            best = &peer->record;
            best_weight = weight;
        }
    }
    return best;
}

}  // namespace

announcement_routes routes_of(const host_record& self,
                              const std::vector<announcement_peer>& peers) {
    announcement_routes result;
    std::map<std::string, std::vector<const announcement_peer*>> elsewhere;
    for (const announcement_peer& peer : peers) {
        if (peer.record.data_centre == self.data_centre) {
            result.direct.push_back(peer.record.datagrams);
        } else {
            elsewhere[peer.record.data_centre].push_back(&peer);
        }
    }
    for (const auto& [data_centre, hosts] : elsewhere) {
        const host_record* first =
            hosts.size() > most_direct_hosts ? forwarder(self.host, hosts) : nullptr;
        if (first != nullptr) {
            result.forwarders.push_back(first->datagrams);
            continue;
        }
        for (const announcement_peer* peer : hosts) {
            result.direct.push_back(peer->record.datagrams);
        }
    }
    return result;
}

}  // namespace fuchsiaquay
