#pragma once

#include <memory>

#include "drivers/traffic/upstream_connection_pool.hpp"
#include "servers/relay/upstream_connector.hpp"

namespace fuchsiaquay {

class control_loop;

/// Sends requests to upstreams with Boost.Beast over pooled connections.
class beast_upstream_connector final : public upstream_connector {
public:
    /// @param loop  outlives the connector and its exchanges
    explicit beast_upstream_connector(control_loop& loop);

    std::unique_ptr<upstream_exchange> open(const upstream_entry& upstream, std::string head,
                                            std::shared_ptr<const std::string> body,
                                            const connection_options& options,
                                            exchange_listener& listener) override;

    /// Connections opened so far.
    std::uint64_t opened_connections() const noexcept { return opened_connections_; }

private:
    control_loop& loop_;
    std::shared_ptr<upstream_connection_pool> pool_;
    std::uint64_t opened_connections_ = 0;
};

}  // namespace fuchsiaquay
