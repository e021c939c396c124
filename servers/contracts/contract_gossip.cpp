#include "servers/contracts/contract_gossip.hpp"

#include <algorithm>
#include <utility>

#include "core/hashing/rendezvous.hpp"
#include "servers/contracts/contract_applier.hpp"
#include "servers/contracts/contract_feed.hpp"
#include "servers/contracts/data_centre_peers.hpp"
#include "servers/peer_transport.hpp"

namespace fuchsiaquay {

contract_gossip::contract_gossip(contract_registry& registry, contract_applier& applier,
                                 const contract_feed& feed, timer_service& timers,
                                 peer_transport& transport, const data_centre_peers& peers,
                                 const contract_watcher_settings& settings)
    : registry_(registry),
      applier_(applier),
      feed_(feed),
      timers_(timers),
      transport_(transport),
      peers_(peers),
      settings_(settings),
      random_(settings.seed) {}

std::vector<host_id> contract_gossip::elected() const {
    std::vector<host_id> hosts;
    for (const member_update& peer : peers_.live()) {
        hosts.push_back(peer.host);
    }
    return rendezvous_order("contracts/" + peers_.data_centre().value(), hosts, settings_.watchers);
}

std::vector<member_update> contract_gossip::other_hosts() const {
    std::vector<member_update> hosts = peers_.live();
    const host_id self = peers_.self();
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                               [&self](const member_update& peer) { return peer.host == self; }),
                hosts.end());
    return hosts;
}

member_update contract_gossip::random_choice(const std::vector<member_update>& hosts) {
    return hosts[random_() % hosts.size()];
}

void contract_gossip::push(const contract_change& change, std::int64_t previous,
                           const host_id& except) {
    const contract_update message{change.customer, change.revision, registry_.known_revision(),
                                  change.erased,   change.document, previous};
    std::vector<member_update> targets = other_hosts();
    std::shuffle(targets.begin(), targets.end(), random_);
    std::size_t sent = 0;
    for (const member_update& target : targets) {
        if (sent == settings_.fan_out) {
            return;
        }
        if (target.host != except) {
            transport_.send(target, message);
            ++sent;
        }
    }
}

duration contract_gossip::compare_period() const {
    const auto hosts = static_cast<std::int64_t>(peers_.live().size());
    return std::clamp(settings_.compare_period_per_host * hosts, settings_.shortest_compare_period,
                      settings_.longest_compare_period);
}

void contract_gossip::compare() {
    const std::vector<member_update> hosts = other_hosts();
    if (hosts.empty() || filling()) {
        return;
    }
    const bool any_peer = !registry_.caught_up();
    std::vector<member_update> watchers;
    const std::vector<host_id> elected_hosts = elected();
    for (const member_update& peer : hosts) {
        if (std::find(elected_hosts.begin(), elected_hosts.end(), peer.host) !=
            elected_hosts.end()) {
            watchers.push_back(peer);
        }
    }
    const member_update target = random_choice(any_peer || watchers.empty() ? hosts : watchers);
    asked_host_ = target.host;
    answered_ = false;
    send_position(target);
}

void contract_gossip::fill_from_peer() {
    const std::vector<member_update> hosts = other_hosts();
    filling_ = false;
    if (hosts.empty() || registry_.caught_up()) {
        return;
    }
    registry_.clear();
    filling_ = true;
    agreed_ = false;
    const member_update target = random_choice(hosts);
    asked_host_ = target.host;
    answered_ = false;
    send_position(target);
}

void contract_gossip::receive(const host_id& sender, const contract_update& message) {
    if (message.customer.empty()) {
        receive_position(sender, message);
    } else {
        receive_change(sender, message);
    }
}

void contract_gossip::receive_change(const host_id& sender, const contract_update& message) {
    if (filling() && sender != asked_host_) {
        // While the registry is filled from a peer, only that peer's changes are accepted, because
        // only they include everything that it has and has deleted.
        return;
    }
    registry_.note_revision(message.index_revision);
    const contract_change change{message.customer, message.revision, message.erased,
                                 message.document};
    const bool taken = applier_.apply(change, "peer");
    registry_.advance(message.previous_revision, message.revision);
    if (taken && registry_.caught_up()) {
        push(change, message.previous_revision, sender);
    }
}

void contract_gossip::receive_position(const host_id& sender, const contract_update& message) {
    const bool sender_verified = message.index_revision > 0;
    registry_.note_revision(message.index_revision);
    if (!filling() || sender == asked_host_) {
        registry_.advance(message.previous_revision, message.revision);
    }
    const bool at_least_as_recent = registry_.complete_revision() >= message.revision;
    if (!message.erased && at_least_as_recent) {
        delete_stale(message.revision);
    }
    answered_ = answered_ || sender == asked_host_;
    if (!message.erased && at_least_as_recent && sender == asked_host_) {
        agreed_ = true;
        filling_ = false;
        if (sender_verified) {
            registry_.confirm(timers_.now() - settings_.verification_max_age);
        }
    }
    if (!registry_.caught_up()) {
        return;
    }
    // Compared with the latest change, because the complete revision also grows with writes to
    // other keys.
    const bool sender_is_behind =
        message.erased ||
        message.revision < std::min(registry_.last_change(), registry_.complete_revision());
    if (!sender_is_behind && (sender_verified || !feed_.recently_verified())) {
        return;
    }
    for (const member_update& peer : peers_.live()) {
        if (peer.host == sender) {
            send_changes(peer, message.revision);
            send_position(peer);
            return;
        }
    }
}

void contract_gossip::delete_stale(std::int64_t revision) {
    for (const customer_id& customer : registry_.delete_stale(revision)) {
        applier_.report({customer, revision, true, ""}, "peer");
    }
}

void contract_gossip::send_changes(const member_update& to, std::int64_t cursor) {
    if (!registry_.can_list_after(cursor)) {
        return;
    }
    std::int64_t previous = cursor;
    for (const contract_change& change : registry_.changes_after(cursor)) {
        // Above the complete revision there may be changes that this node does not know, so nothing
        // is declared about the change before.
        const bool previous_known = change.revision <= registry_.complete_revision();
        transport_.send(
            to, contract_update{change.customer, change.revision, registry_.known_revision(),
                                change.erased, change.document,
                                previous_known ? previous : change.revision});
        previous = change.revision;
    }
}

void contract_gossip::send_position(const member_update& to) {
    contract_update position;
    position.revision = registry_.complete_revision();
    position.erased = !registry_.caught_up();
    position.previous_revision = std::min(registry_.last_change(), registry_.complete_revision());
    if (registry_.caught_up() && feed_.recently_verified()) {
        // Above 0 even if there is no contract yet, because 0 means "not verified".
        position.index_revision = std::max<std::int64_t>(1, registry_.known_revision());
    }
    transport_.send(to, position);
}

}  // namespace fuchsiaquay
