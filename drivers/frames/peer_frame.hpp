#pragma once

#include <cstdint>
#include <optional>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/messages/peer_message.hpp"

namespace fuchsiaquay {

/// One frame between two nodes, as authenticated on the wire.
struct peer_frame {
    host_id sender;
    /// Empty while the sender knows only the address, as in the first join.
    host_id receiver;
    /// Frame listener port of the sender; with the address of the connection it names the peer.
    std::uint16_t peer_port = 0;
    /// Start of the sending process; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    /// Grows with each message of the process; 0 in a bare acknowledgement.
    std::uint64_t sequence = 0;
    /// Highest sequence that the sender has received from the receiver.
    std::uint64_t acknowledged = 0;
    /// Empty in a bare acknowledgement.
    std::optional<peer_message> message;

    friend bool operator==(const peer_frame& a, const peer_frame& b) {
        return std::tie(a.sender, a.receiver, a.peer_port, a.incarnation, a.sequence,
                        a.acknowledged, a.message) == std::tie(b.sender, b.receiver, b.peer_port,
                                                               b.incarnation, b.sequence,
                                                               b.acknowledged, b.message);
    }
    friend bool operator!=(const peer_frame& a, const peer_frame& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
