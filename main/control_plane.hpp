#pragma once

#include <memory>
#include <string>

#include "core/contract/contract_registry.hpp"
#include "drivers/control/system_wall_clock.hpp"
#include "drivers/frames/asio_peer_transport.hpp"
#include "drivers/journal/flatbuffers_shard_codec.hpp"
#include "drivers/json/json_contract_format.hpp"
#include "drivers/platform/host_list_client.hpp"
#include "drivers/store/etcd_store.hpp"
#include "servers/contracts/contract_editor.hpp"
#include "servers/contracts/contract_registry_view.hpp"
#include "servers/contracts/contract_watcher.hpp"
#include "servers/journal/journal_service.hpp"
#include "servers/limits/limit_service.hpp"
#include "servers/membership/membership_service.hpp"
#include "servers/upstreams/upstream_service.hpp"
#include "servers/views/membership_view.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;
struct node_settings;

/// State that a node shares with its peers: membership, contracts, upstreams and the journal.
class control_plane {
public:
    /// @param incarnation  start time of this process in milliseconds since the Unix epoch
    control_plane(const node_settings& settings, std::uint64_t incarnation, control_loop& loop,
                  decision_log& log);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane();

    /// Calls `changed` after the hosts or the upstreams have changed.
    void on_topology_change(std::function<void()> changed) {
        on_topology_change_ = std::move(changed);
    }

    asio_peer_transport& transport() { return transport_; }
    membership_service& members() { return members_; }
    const membership_view& hosts() const { return hosts_; }
    upstream_service& upstreams() { return upstreams_; }
    limit_service& limits() { return limits_; }
    contract_registry& registry() { return registry_; }
    const system_wall_clock& clock() const { return clock_; }
    const contract_registry_view& contracts() const { return contracts_; }
    contract_watcher& watcher() { return watcher_; }
    contract_editor& editor() { return editor_; }
    journal_service& journal() { return journal_; }
    etcd_store& store() { return store_; }

private:
    void notify_topology_change() const;
    void read_upstream_records();
    void read_seed_peers();
    /// True while this host is one of those that keep a record in the store, in which starting
    /// hosts find their first peers.
    bool is_registered_host() const;
    void register_host();
    void renew_registration();

    control_loop& loop_;
    decision_log& log_;
    etcd_store store_;
    asio_peer_transport transport_;
    membership_service members_;
    membership_view hosts_;
    json_contract_format format_;
    contract_registry registry_;
    contract_registry_view contracts_;
    contract_watcher watcher_;
    contract_editor editor_;
    system_wall_clock clock_;
    flatbuffers_shard_codec shard_codec_;
    journal_service journal_;
    host_list_client host_list_;
    upstream_service upstreams_;
    limit_service limits_;
    std::vector<member_update> seeds_;
    std::function<void()> on_topology_change_;
    std::int64_t lease_ = 0;
};

}  // namespace fuchsiaquay
