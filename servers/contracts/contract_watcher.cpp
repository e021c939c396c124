#include "servers/contracts/contract_watcher.hpp"

#include <algorithm>
#include <string>

#include "servers/contracts/data_centre_peers.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

contract_watcher::contract_watcher(contract_registry& registry, key_value_store& store,
                                   timer_service& timers, peer_transport& transport,
                                   const data_centre_peers& peers, const contract_format& format,
                                   decision_log& log, const contract_watcher_settings& settings)
    : settings_(settings),
      registry_(registry),
      timers_(timers),
      peers_(peers),
      log_(log),
      applier_(registry, format, log),
      feed_(registry, applier_, store, timers, log, settings_),
      gossip_(registry, applier_, feed_, timers, transport, peers, settings_) {
    feed_.on_store_change([this](const contract_change& change, std::int64_t previous) {
        gossip_.push(change, previous, host_id());
    });
}

contract_watcher::~contract_watcher() {
    stop();
}

void contract_watcher::start() {
    state_since_ = timers_.now();
    subscriptions_.push_back(timers_.every(settings_.check_period, [this] { tick(); }));
    tick();
}

void contract_watcher::stop() {
    for (const timer_service::subscription id : subscriptions_) {
        timers_.cancel(id);
    }
    subscriptions_.clear();
    feed_.stop();
}

void contract_watcher::receive(const host_id& sender, const contract_update& message) {
    gossip_.receive(sender, message);
    if (!registry_.caught_up()) {
        catch_up();
    }
}

void contract_watcher::apply_local(const contract_change& change) {
    if (applier_.apply(change, "own")) {
        gossip_.push(change, change.revision, host_id());
    }
}

bool contract_watcher::elected() const {
    const std::vector<host_id> elected_hosts = gossip_.elected();
    return std::find(elected_hosts.begin(), elected_hosts.end(), peers_.self()) !=
           elected_hosts.end();
}

void contract_watcher::tick() {
    feed_.tick(elected());
    if (!registry_.caught_up()) {
        feed_.read();
        catch_up();
    } else {
        repair();
    }
    const bool due = timers_.now() >= next_compare_ || !gossip_.answered();
    if (due && !feed_.recently_verified()) {
        next_compare_ = timers_.now() + gossip_.compare_period();
        gossip_.compare();
    }
}

void contract_watcher::catch_up() {
    const bool waited = timers_.now() - state_since_ >= settings_.catch_up_wait;
    const bool alone = peers_.live().size() <= 1;
    const bool behind = registry_.known_revision() >
                        std::max(registry_.complete_revision(), registry_.last_change());
    const bool read = feed_.has_read() && (alone || waited);
    if (!behind && (read || (gossip_.agreed() && !gossip_.filling()))) {
        registry_.set_caught_up();
        log_.write(decision_log::level::info, "contracts_caught_up",
                   {{"revision", std::to_string(registry_.complete_revision())},
                    {"from", feed_.has_read() ? "store" : "peer"}});
        return;
    }
    if (waited) {
        // Neither the store nor a comparison was sufficient, so everything is copied from a peer.
        state_since_ = timers_.now();
        feed_.invalidate_reads();
        gossip_.fill_from_peer();
    }
}

void contract_watcher::repair() {
    const bool behind = freshness().sync_state == contract_sync_state::behind;
    if (behind && !behind_) {
        state_since_ = timers_.now();
    }
    behind_ = behind;
    if (behind && timers_.now() - state_since_ >= settings_.behind_timeout) {
        state_since_ = timers_.now();
        feed_.read();
    }
}

}  // namespace fuchsiaquay
