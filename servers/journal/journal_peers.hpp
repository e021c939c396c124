#pragma once

#include "core/identity/names.hpp"
#include "core/messages/peer_message.hpp"

namespace fuchsiaquay {

/// The other nodes as the journal needs them. Used on the control thread only.
class journal_peers {
public:
    journal_peers() = default;
    journal_peers(const journal_peers&) = delete;
    journal_peers& operator=(const journal_peers&) = delete;
    virtual ~journal_peers() = default;

    /// True unless the membership holds `host` for dead or does not know it.
    virtual bool alive(const host_id& host) const = 0;
    /// Sends with best effort. Never calls back before it returns.
    virtual void send(const host_id& host, const peer_message& message) = 0;
};

}  // namespace fuchsiaquay
