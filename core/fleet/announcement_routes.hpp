#pragma once

#include <vector>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

struct announcement_peer;
struct host_record;

/// Addresses to which an announcement is sent.
struct announcement_routes {
    std::vector<network_address> direct;
    /// Hosts that forward it to the other hosts of their data centre.
    std::vector<network_address> forwarders;
};

/// Plans routes so that an announcement is sent only once to each other large data centre, to a
/// host that forwards it. The hosts of the own data centre, of small ones and of those without a
/// recently heard host are sent to directly. The forwarder is chosen by rendezvous hashing of the
/// sender, which spreads the senders over the hosts of a data centre.
announcement_routes plan_announcement_routes(const host_record& self,
                                             const std::vector<announcement_peer>& peers);

}  // namespace fuchsiaquay
