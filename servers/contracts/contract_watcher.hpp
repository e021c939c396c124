#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "core/contract/contract_registry.hpp"
#include "core/messages/contract_update.hpp"
#include "servers/contracts/contract_applier.hpp"
#include "servers/contracts/contract_feed.hpp"
#include "servers/contracts/contract_gossip.hpp"
#include "servers/contracts/contract_watcher_settings.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class contract_format;
class data_centre_peers;
class decision_log;
class key_value_store;
class peer_transport;

/// Keeps the contract registry of a node up to date. Runs on the control thread.
///
/// A few elected hosts of each data centre watch the store and push changes to peers. The other
/// hosts periodically compare their position with a watcher. A starting node serves only after it
/// has caught up: either it has read the store and is not behind a peer, or, during an outage of
/// the store, it has caught up with a peer.
class contract_watcher {
public:
    /// Called after a change was applied.
    using change_handler = std::function<void(const contract_change&)>;

    contract_watcher(contract_registry& registry, key_value_store& store, timer_service& timers,
                     peer_transport& transport, const data_centre_peers& peers,
                     const contract_format& format, decision_log& log,
                     const contract_watcher_settings& settings);
    ~contract_watcher();
    contract_watcher(const contract_watcher&) = delete;
    contract_watcher& operator=(const contract_watcher&) = delete;

    /// Starts to catch up and to receive changes.
    void start();
    /// Ends all subscriptions. Later answers are ignored.
    void stop();
    void on_change(change_handler changed) { applier_.on_change(std::move(changed)); }
    /// Handles a message from a peer.
    void receive(const host_id& sender, const contract_update& message);
    /// Applies a change that this node has just made durable and pushes it to peers.
    void apply_local(const contract_change& change);
    /// Whether this node watches the store now.
    bool watching() const noexcept { return feed_.watching(); }
    contract_freshness freshness() const { return registry_.freshness(timers_.now()); }

private:
    void tick();
    void catch_up();
    void repair();
    bool elected() const;

    contract_watcher_settings settings_;
    contract_registry& registry_;
    timer_service& timers_;
    const data_centre_peers& peers_;
    decision_log& log_;
    contract_applier applier_;
    contract_feed feed_;
    contract_gossip gossip_;
    std::vector<timer_service::subscription> subscriptions_;
    instant next_compare_{};
    /// Start of the present attempt to catch up, or of the time behind.
    instant state_since_{};
    bool behind_ = false;
};

}  // namespace fuchsiaquay
