#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/data_centre_heartbeat.hpp"
#include "core/messages/gossip_kind.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Message of the failure detector that also carries membership updates.
struct gossip_message {
    gossip_kind kind = gossip_kind::ping;
    /// Matches an ack with its ping.
    std::uint64_t sequence = 0;
    /// Host to probe, for `ping_request` and its relayed ack; empty in direct messages.
    host_id subject;
    std::vector<member_update> updates;
    /// Hash of the sender's whole membership; a mismatch triggers a full exchange.
    std::uint64_t digest = 0;
    std::vector<data_centre_heartbeat> beats;

    friend bool operator==(const gossip_message& a, const gossip_message& b) {
        return std::tie(a.kind, a.sequence, a.subject, a.updates, a.digest, a.beats) ==
               std::tie(b.kind, b.sequence, b.subject, b.updates, b.digest, b.beats);
    }
    friend bool operator!=(const gossip_message& a, const gossip_message& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
