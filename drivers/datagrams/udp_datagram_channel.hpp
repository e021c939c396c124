#pragma once

#include <memory>

#include "core/fleet/network_address.hpp"
#include "servers/fleet/datagram_channel.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;

/// Sends and receives peer messages by UDP. A message that exceeds the datagram size is dropped.
class udp_datagram_channel final : public datagram_channel {
public:
    /// @throws operation_error  `address` cannot be bound
    udp_datagram_channel(control_loop& loop, decision_log& log, const network_address& address);
    udp_datagram_channel(const udp_datagram_channel&) = delete;
    udp_datagram_channel& operator=(const udp_datagram_channel&) = delete;
    ~udp_datagram_channel() override;

    void send(const std::vector<network_address>& receivers, const peer_datagram& message) override;
    void on_receive(handler receive) override;

private:
    class impl;

    std::shared_ptr<impl> impl_;
};

}  // namespace fuchsiaquay
