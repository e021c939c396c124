#pragma once

#include <memory>

#include "core/fleet/network_address.hpp"
#include "servers/fleet/announcement_channel.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;

/// Announcements as UDP datagrams, each of at most 400 works.
class udp_announcement_channel final : public announcement_channel {
public:
    /// @throws step_error  the address cannot be listened at
    udp_announcement_channel(control_loop& loop, decision_log& log,
                             const network_address& address);
    ~udp_announcement_channel() override;

    void send(const std::vector<network_address>& to, const announcement& message) override;
    void on_receive(handler receive) override;

private:
    class binding;

    std::shared_ptr<binding> binding_;
};

}  // namespace fuchsiaquay
