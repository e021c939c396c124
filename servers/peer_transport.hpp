#pragma once

#include <functional>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"
#include "core/messages/peer_message.hpp"

namespace fuchsiaquay {

/// Best-effort messages between nodes. Used on the control thread only. Messages may be lost but
/// are never altered. The implementation replaces connections that stop responding.
class peer_transport {
public:
    using handler = std::function<void(const host_id& sender, const peer_message& message)>;

    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    virtual ~peer_transport() = default;

    /// Sends `message` to the frame listener at the address of `to`.
    virtual void send(const member_update& to, const peer_message& message) = 0;
    /// Sets the receiver of incoming messages.
    virtual void on_message(handler receive) = 0;
};

}  // namespace fuchsiaquay
