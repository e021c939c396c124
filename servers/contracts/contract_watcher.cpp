#include "servers/contracts/contract_watcher.hpp"

#include <algorithm>
#include <string>

#include "servers/contracts/data_centre_peers.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

contract_watcher::contract_watcher(contract_book& book, key_value_store& store,
                                   timer_service& timers, peer_transport& transport,
                                   const data_centre_peers& peers, const contract_format& format,
                                   decision_log& log, const contract_watcher_settings& settings)
    : settings_(settings),
      book_(book),
      timers_(timers),
      peers_(peers),
      log_(log),
      intake_(book, format, log),
      feed_(book, intake_, store, timers, log, settings_),
      gossip_(book, intake_, feed_, timers, transport, peers, settings_) {
    feed_.on_news([this](const contract_change& change, std::int64_t previous) {
        gossip_.push(change, previous, host_id());
    });
}

contract_watcher::~contract_watcher() {
    stop();
}

void contract_watcher::start() {
    since_ = timers_.now();
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
    if (!book_.caught_up()) {
        catch_up();
    }
}

void contract_watcher::apply_own(const contract_change& change) {
    if (intake_.take(change, "own")) {
        gossip_.push(change, change.revision, host_id());
    }
}

bool contract_watcher::elected() const {
    const std::vector<host_id> chosen = gossip_.elected();
    return std::find(chosen.begin(), chosen.end(), peers_.self()) != chosen.end();
}

void contract_watcher::tick() {
    feed_.tick(elected());
    if (!book_.caught_up()) {
        feed_.read();
        catch_up();
    } else {
        repair();
    }
    const bool due = timers_.now() >= next_compare_ || !gossip_.answered();
    if (due && !feed_.can_vouch()) {
        next_compare_ = timers_.now() + gossip_.compare_period();
        gossip_.compare();
    }
}

void contract_watcher::catch_up() {
    const bool waited = timers_.now() - since_ >= settings_.catch_up_wait;
    const bool alone = peers_.live().size() <= 1;
    const bool behind =
        book_.known_revision() > std::max(book_.complete_revision(), book_.last_change());
    const bool read = feed_.has_read() && (alone || waited);
    if (!behind && (read || (gossip_.agreed() && !gossip_.filling()))) {
        book_.set_caught_up();
        log_.write(decision_log::level::info, "contracts_caught_up",
                   {{"revision", std::to_string(book_.complete_revision())},
                    {"from", feed_.has_read() ? "store" : "peer"}});
        return;
    }
    if (waited) {
        // Neither the store nor a comparison was enough: take everything from a peer.
        since_ = timers_.now();
        feed_.forget_readings();
        gossip_.fill_from_peer();
    }
}

void contract_watcher::repair() {
    const bool behind = freshness().standing == contract_standing::behind;
    if (behind && !behind_) {
        since_ = timers_.now();
    }
    behind_ = behind;
    if (behind && timers_.now() - since_ >= settings_.patience) {
        since_ = timers_.now();
        feed_.read();
    }
}

}  // namespace fuchsiaquay
