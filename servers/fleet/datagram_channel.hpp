#pragma once

#include <functional>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/fleet/peer_datagram.hpp"

namespace fuchsiaquay {

/// Sends unreliable messages between hosts. Messages may be lost or reordered.
class datagram_channel {
public:
    using handler = std::function<void(const peer_datagram& message)>;

    datagram_channel() = default;
    datagram_channel(const datagram_channel&) = delete;
    datagram_channel& operator=(const datagram_channel&) = delete;
    virtual ~datagram_channel() = default;

    /// Sends `message` to each address.
    virtual void send(const std::vector<network_address>& addresses,
                      const peer_datagram& message) = 0;
    virtual void on_receive(handler receive) = 0;
};

}  // namespace fuchsiaquay
