#pragma once

#include <tuple>

#include "core/messages/gossip_message.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// A gossip message and its recipient.
struct outgoing_gossip {
    member_update to;
    gossip_message message;

    friend bool operator==(const outgoing_gossip& a, const outgoing_gossip& b) {
        return std::tie(a.to, a.message) == std::tie(b.to, b.message);
    }
    friend bool operator!=(const outgoing_gossip& a, const outgoing_gossip& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
