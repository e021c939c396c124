#pragma once

#include "core/identity/names.hpp"
#include "core/messages/peer_message.hpp"

namespace fuchsiaquay {

/// Interface through which the journal reaches other nodes. Used on the control thread only.
class journal_peers {
public:
    journal_peers() = default;
    journal_peers(const journal_peers&) = delete;
    journal_peers& operator=(const journal_peers&) = delete;
    virtual ~journal_peers() = default;

    /// False if the membership considers `host` dead or does not know it.
    virtual bool alive(const host_id& host) const = 0;
    /// Sends a message on a best-effort basis. Does not call back into the journal before it
    /// returns.
    virtual void send(const host_id& host, const peer_message& message) = 0;
};

}  // namespace fuchsiaquay
