#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/fleet/host_state.hpp"
#include "core/health/upstream_health.hpp"
#include "core/health/upstream_notices.hpp"
#include "core/placement/data_centre_preference.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/relay/relay_memory.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "drivers/datagrams/udp_datagram_channel.hpp"
#include "drivers/metrics/histogram_metrics.hpp"
#include "drivers/net/http_endpoint.hpp"
#include "drivers/net/tunnel_server.hpp"
#include "drivers/net/upstream_dialer.hpp"
#include "drivers/queries/http_host_queries.hpp"
#include "drivers/traffic/beast_upstream_connector.hpp"
#include "drivers/traffic/caller_server.hpp"
#include "main/entry_settings.hpp"
#include "platform/kv_store.hpp"
#include "platform/platform_configuration_codec.hpp"
#include "platform/platform_engine_memory_client.hpp"
#include "platform/platform_request_format.hpp"
#include "platform/platform_upstream_codec.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/host_load.hpp"
#include "servers/fleet/host_registry.hpp"
#include "servers/fleet/serving_role.hpp"
#include "servers/fleet/store_view_sync.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/relay_queue.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/store/mirror_listeners.hpp"
#include "servers/store/prefix_mirror.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;

/// Node that runs on the users' platform (`fuchsiaquay entry`) and relays requests from callers to
/// upstreams.
class entry_node {
public:
    /// Starts to listen.
    /// @throws operation_error  an address cannot be bound
    entry_node(const entry_settings& settings, control_loop& loop, decision_log& log);
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    ~entry_node() = default;

    /// Shuts down gracefully: leaves the directory, finishes active requests and calls `done`
    /// before the grace period ends.
    void drain(std::function<void()> done);

private:
    host_state state() const;
    host_load load() const;
    void update_retry_budget();
    void connect_cold_upstreams();
    void connect_upstream_paths();
    /// Tunnel addresses of the other hosts. Hosts of this data centre alternate with others, since
    /// a whole data centre may have lost its paths.
    std::vector<network_address> tunnel_addresses() const;
    /// Whether the host at the IP address `from` may reach `upstream` through this one, as an HTTP
    /// status.
    int tunnel_permission(const std::string& from, const network_address& upstream) const;
    /// Updates what this host may send to upstreams that may be cold.
    void update_cold_budget();
    /// Time for which new upstreams are cold; absent if the service limits no requests meanwhile.
    std::optional<duration> cold_time_of(const std::string& service) const;
    http_endpoint::reply handle_readiness() const;
    http_endpoint::reply handle_directory(const std::string& target) const;
    http_endpoint::reply handle_query(const std::string& target) const;
    http_endpoint::reply handle_metrics() const;
    void receive(const peer_datagram& message);
    caller_services make_caller_services();
    const placement_policy& placement_policy_for(const entry_settings& settings) const;
    caller_limits current_caller_limits() const;
    duration serving_time_left() const;
    void finish_when_idle();

    entry_settings settings_;
    control_loop& loop_;
    decision_log& log_;
    const std::size_t max_connections_;
    std::uint64_t handler_errors_ = 0;
    bool stopping_ = false;
    instant stop_requested_at_{};
    std::function<void()> on_stopped_;

    platform_configuration_codec configuration_codec_;
    platform_upstream_codec upstream_codec_;
    platform_request_format format_;
    kv_store configuration_store_;
    kv_store catalogue_store_;
    configuration_feed configuration_;
    evacuation_feed evacuations_;
    mirror_listeners operator_values_;
    prefix_mirror configuration_mirror_;
    upstream_registry upstreams_;
    prefix_mirror upstream_mirror_;
    engine_work_table engine_work_;
    udp_datagram_channel datagrams_;
    host_registry hosts_;
    serving_role serving_role_;
    http_host_queries queries_;
    store_view_sync view_sync_;

    upstream_health health_;
    upstream_notices notices_;
    fleet_retry_budget retry_budget_;
    interference_aware_placement placement_;
    data_centre_preference own_data_centre_first_;
    upstream_dialer dialer_;
    beast_upstream_connector connector_;
    platform_engine_memory_client engine_memory_;
    relay_memory relay_memory_;
    histogram_metrics metrics_;
    relay_services relay_services_;
    relay_queue relay_queue_;
    tunnel_server tunnels_;
    caller_server callers_;
    http_endpoint readiness_;
    http_endpoint directory_;
    http_endpoint metrics_endpoint_;
};

}  // namespace fuchsiaquay
