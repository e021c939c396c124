#pragma once

#include <vector>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

struct announcement_peer;
struct host_record;

/// How an announcement reaches the other hosts.
struct announcement_routes {
    std::vector<network_address> direct;
    /// Hosts that pass it on to the others of their data centre.
    std::vector<network_address> forwarders;
};

/// Routes on which an announcement crosses to each other data centre once: the hosts of the own
/// one, of small ones and of those without a host that was heard lately are reached directly.
/// Senders spread over the hosts of a data centre by rendezvous hashing.
announcement_routes plan_announcement_routes(const host_record& self,
                                             const std::vector<announcement_peer>& peers);

}  // namespace fuchsiaquay
