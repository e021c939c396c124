#pragma once

#include <cstdint>
#include <optional>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/messages/peer_message.hpp"

namespace fuchsiaquay {

/// A frame sent from one node to another and authenticated.
struct peer_frame {
    host_id sender;
    /// Empty if the sender knows only the address, as in the first join message.
    host_id receiver;
    /// Port of the sender's frame listener. It identifies the peer together with the address of
    /// the connection.
    std::uint16_t peer_port = 0;
    /// Start time of the sending process; frames of an earlier process are rejected.
    std::uint64_t incarnation = 0;
    /// Increases with each message of the process; 0 in a frame that only acknowledges.
    std::uint64_t sequence = 0;
    /// Highest sequence that the sender has received from the receiver.
    std::uint64_t acknowledged = 0;
    /// Empty in a frame that only acknowledges.
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
