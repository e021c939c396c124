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

/// Keeps the contract book of a node up to date. Runs on the control thread.
///
/// A few elected hosts of each data centre watch the store and push changes to peers; the others
/// compare with a watcher now and then. A starting node serves only after it has caught up: from
/// the store, and no further behind than a peer; or from a peer alone while the store is out.
class contract_watcher {
public:
    /// Called after a change took effect.
    using change_handler = std::function<void(const contract_change&)>;

    contract_watcher(contract_registry& registry, key_value_store& store, timer_service& timers,
                     peer_transport& transport, const data_centre_peers& peers,
                     const contract_format& format, decision_log& log,
                     const contract_watcher_settings& settings);
    ~contract_watcher();
    contract_watcher(const contract_watcher&) = delete;
    contract_watcher& operator=(const contract_watcher&) = delete;

    /// Starts to catch up and to follow changes.
    void start();
    /// Ends every subscription; later answers are ignored.
    void stop();
    void on_change(change_handler changed) { applier_.on_change(std::move(changed)); }
    /// Takes in a message of a peer.
    void receive(const host_id& sender, const contract_update& message);
    /// Takes in a change that this node has just made durable, and pushes it.
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
    /// When the present step of catching up, or being behind, began.
    instant since_{};
    bool behind_ = false;
};

}  // namespace fuchsiaquay
