#pragma once

#include <vector>

#include "drivers/net/tunnel_server.hpp"
#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

namespace fuchsiaquay::testing {

/// The connector of a host whose path to the upstreams is blocked, and another host that reaches
/// them.
struct stranded_host_fixture : upstream_connector_fixture {
    static constexpr int status_ok = 200;
    /// Listed upstreams at which nothing listens.
    std::vector<network_address> dead_{free_address(), free_address(), free_address()};
    upstream_dialer peer_dialer_{loop_, log_};
    network_address tunnel_address_ = free_address();
    int permission_ = status_ok;
    /// IP address of the last host that asked for a tunnel.
    std::string asked_from_;
    tunnel_server tunnels_{loop_, peer_dialer_, tunnel_address_,
                           [this](const std::string& from, const network_address& /*upstream*/) {
                               asked_from_ = from;
                               return permission_;
                           }};
    std::vector<network_address> upstreams_ = dead_;
    std::vector<network_address> peers_{tunnel_address_};
    int path_changes_ = 0;

    void setup() override {
        dialer_.set_upstreams([this] { return upstreams_; });
        dialer_.set_peers([this] { return peers_; });
        dialer_.on_path_changed([this] { ++path_changes_; });
        block_path();
    }
    void block_path() {
        for (const network_address& upstream : dead_) {
            dialer_.record_direct(upstream, false);
        }
        CHECK_TRUE(dialer_.blocked());
    }
    /// Runs the loop for a while in which nothing is expected.
    void run_for(duration time) { loop_.context().run_for(time); }
};

}  // namespace fuchsiaquay::testing
