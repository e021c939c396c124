#pragma once

#include <memory>

#include "drivers/traffic/upstream_connection_pool.hpp"
#include "servers/relay/upstream_connector.hpp"

namespace fuchsiaquay {

class connection_end_evidence;
class control_loop;
class upstream_dialer;

/// Sends requests to upstreams with Boost.Beast over pooled connections.
class beast_upstream_connector final : public upstream_connector {
public:
    /// The referenced objects must outlive the connector and its exchanges.
    beast_upstream_connector(control_loop& loop, upstream_dialer& dialer);

    std::unique_ptr<upstream_exchange> open(const upstream_entry& upstream, std::string head,
                                            std::shared_ptr<const std::string> body,
                                            const connection_options& options,
                                            exchange_listener& listener) override;

    /// Closes the idle connections.
    void close_idle();
    /// Connections opened so far.
    std::uint64_t opened_connections() const noexcept { return opened_connections_; }

private:
    control_loop& loop_;
    upstream_dialer& dialer_;
    std::shared_ptr<upstream_connection_pool> pool_;
    std::shared_ptr<connection_end_evidence> evidence_;
    std::uint64_t opened_connections_ = 0;
};

}  // namespace fuchsiaquay
