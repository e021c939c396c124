#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/messages/member_state.hpp"

namespace fuchsiaquay {

/// State of one host, spread by gossip.
struct member_update {
    host_id host;
    data_centre_id data_centre;
    /// IP address.
    std::string address;
    /// Port of the frame listener.
    std::uint16_t peer_port = 0;
    /// Port for callers.
    std::uint16_t http_port = 0;
    /// Increases when the host restarts or refutes a suspicion.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    friend bool operator==(const member_update& a, const member_update& b) {
        return std::tie(a.host, a.data_centre, a.address, a.peer_port, a.http_port, a.incarnation,
                        a.state) == std::tie(b.host, b.data_centre, b.address, b.peer_port,
                                             b.http_port, b.incarnation, b.state);
    }
    friend bool operator!=(const member_update& a, const member_update& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
