#include "core/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {
namespace {

bool is_not_dead(member_state state) {
    return state != member_state::dead;
}

duration random_fraction(std::mt19937_64& random, duration whole) {
    return duration(
        static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole.count())));
}

}  // namespace

membership::membership(membership_settings settings, member_update self, std::uint64_t seed,
                       instant now)
    : settings_(settings),
      self_(std::move(self)),
      random_(seed),
      data_centre_monitor_(self_.data_centre, settings.unreachable_after, now),
      bridge_selector_(settings.bridges_per_data_centre),
      last_tick_(now),
      include_self_until_(now + settings.unreachable_after),
      next_probe_(now + random_fraction(random_, settings.probe_period)),
      next_bridge_(now + random_fraction(random_, settings.bridge_period)),
      next_join_(now),
      next_rejoin_(now + settings.join_period),
      next_sync_(now + settings.mismatch_before_sync),
      digest_mismatch_since_(now) {
    self_.state = member_state::alive;
    table_.apply(self_, now);
}

void membership::set_seed_peers(std::vector<member_update> peers) {
    seed_peers_ = std::move(peers);
}

void membership::tick(instant now) {
    const duration gap = now - last_tick_;
    last_tick_ = now;
    if (gap > settings_.pause_threshold) {
        recover_from_pause(gap, now);
    }
    run_probe(now);
    declare_expired_suspects_dead(now);
    exchange_with_remote(now);
    join_seed_peers(now);
    table_.remove_dead(now - settings_.dead_retention);
    for (auto it = relays_.begin(); it != relays_.end();) {
        const bool expired = now - it->second.started > settings_.probe_period;
        it = expired ? relays_.erase(it) : std::next(it);
    }
}

void membership::recover_from_pause(duration gap, instant now) {
    include_self_until_ = now + settings_.unreachable_after;
    probe_.pending = false;
    table_.extend_suspicions(gap);
    data_centre_monitor_.restart_silence(now);
}

void membership::run_probe(instant now) {
    if (probe_.pending && !probe_.indirect && now - probe_.sent >= settings_.ping_timeout) {
        request_indirect_probes();
    }
    if (now < next_probe_) {
        return;
    }
    next_probe_ += settings_.probe_period;
    if (next_probe_ <= now) {
        next_probe_ = now + settings_.probe_period;
    }
    if (probe_.pending) {
        probe_failed(now);
    }
    start_probe(now);
}

void membership::start_probe(instant now) {
    const host_id target = probe_round_.next(table_, self_, random_);
    if (target.empty()) {
        return;
    }
    probe_ = probe{target, ++last_sequence_, now, false, true};
    send(table_.find(target)->update, gossip_kind::ping, probe_.sequence, host_id());
}

void membership::request_indirect_probes() {
    probe_.indirect = true;
    for (const host_id& proxy : random_peers(settings_.indirect_probes, probe_.target)) {
        send(table_.find(proxy)->update, gossip_kind::ping_request, probe_.sequence, probe_.target);
    }
}

std::vector<host_id> membership::random_peers(std::size_t count, const host_id& except) {
    std::vector<host_id> peers = table_.live_hosts(self_.data_centre);
    peers.erase(
        std::remove_if(peers.begin(), peers.end(),
                       [&](const host_id& host) { return host == self_.host || host == except; }),
        peers.end());
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

void membership::probe_failed(instant now) {
    probe_.pending = false;
    const member_entry* entry = table_.find(probe_.target);
    if (entry == nullptr) {
        return;
    }
    if (entry->update.state == member_state::leaving) {
        table_.mark_probe_failed(probe_.target, now);
        return;
    }
    if (entry->update.state == member_state::alive) {
        member_update suspicion = entry->update;
        suspicion.state = member_state::suspect;
        apply_update(suspicion, now);
        // The message waits in the socket of a paused process, which refutes as soon as it resumes.
        send(suspicion, gossip_kind::ping, ++last_sequence_, host_id());
    }
}

void membership::declare_expired_suspects_dead(instant now) {
    // Gossip may not reach a suspect, so each host probes it before declaring it dead.
    const instant half_timeout_ago = now - settings_.suspicion_timeout / 2;
    for (const member_update& suspect :
         table_.take_unprobed_suspects(self_.data_centre, half_timeout_ago)) {
        send(suspect, gossip_kind::ping, ++last_sequence_, host_id());
    }
    for (member_update& expired : table_.expired_suspicions(now - settings_.suspicion_timeout)) {
        // A host is only declared dead by its own data centre, which probes it.
        if (expired.data_centre == self_.data_centre) {
            expired.state = member_state::dead;
            apply_update(expired, now);
        }
    }
}

void membership::exchange_with_remote(instant now) {
    if (now < next_bridge_) {
        return;
    }
    next_bridge_ = now + settings_.bridge_period;
    const std::vector<host_id> own = bridge_selector_.bridges_of(table_, self_.data_centre);
    is_bridge_ = std::find(own.begin(), own.end(), self_.host) != own.end();
    if (!is_bridge_) {
        return;
    }
    data_centre_monitor_.advance_own_heartbeat();
    const std::optional<member_update> remote =
        bridge_selector_.next_remote(table_, self_.data_centre, random_);
    if (remote) {
        send(*remote, gossip_kind::ping, ++last_sequence_, host_id());
    }
}

void membership::join_seed_peers(instant now) {
    if (seed_peers_.empty()) {
        return;
    }
    const bool alone = table_.live_hosts(self_.data_centre).size() <= 1;
    if ((!joined_ || alone) && now >= next_join_) {
        next_join_ = now + (joined_ ? settings_.suspicion_timeout : settings_.join_period);
        join_unknown_seed_peer();
    }
    const bool introducing = now < include_self_until_;
    if ((is_bridge_ || introducing) && now >= next_rejoin_) {
        next_rejoin_ = now + (introducing ? settings_.join_period : settings_.rejoin_period);
        join_unknown_seed_peer();
    }
}

void membership::join_unknown_seed_peer() {
    std::vector<member_update> unknown_peers;
    for (const member_update& peer : seed_peers_) {
        const bool known =
            std::any_of(table_.entries().begin(), table_.entries().end(), [&](const auto& listed) {
                const member_update& member = listed.second.update;
                return is_not_dead(member.state) && member.address == peer.address &&
                       member.peer_port == peer.peer_port;
            });
        if (!known) {
            unknown_peers.push_back(peer);
        }
    }
    if (!unknown_peers.empty()) {
        send_member_list(unknown_peers[random_() % unknown_peers.size()], gossip_kind::join);
    }
}

void membership::receive(const host_id& sender, const gossip_message& message, instant now) {
    if (sender == self_.host) {
        return;
    }
    joined_ = true;
    for (const member_update& update : message.updates) {
        if (update.host == self_.host) {
            refute(update, now);
        } else {
            apply_update(update, now);
        }
    }
    data_centre_monitor_.receive(message.beats, now);
    answer(sender, message, now);
    compare_digest(sender, message, now);
}

void membership::answer(const host_id& sender, const gossip_message& message, instant now) {
    const member_entry* from = table_.find(sender);
    if (from == nullptr) {
        return;
    }
    switch (message.kind) {
        case gossip_kind::ping:
            send(from->update, gossip_kind::ack, message.sequence, host_id());
            break;
        case gossip_kind::ping_request: {
            const member_entry* target = table_.find(message.subject);
            if (target != nullptr) {
                relays_[++last_sequence_] = relay{sender, message.sequence, message.subject, now};
                send(target->update, gossip_kind::ping, last_sequence_, host_id());
            }
            break;
        }
        case gossip_kind::ack:
            handle_ack(sender, message);
            break;
        case gossip_kind::join:
            send_member_list(from->update, gossip_kind::join_reply);
            break;
        case gossip_kind::join_reply:
            break;
    }
}

void membership::handle_ack(const host_id& sender, const gossip_message& message) {
    const host_id& subject = message.subject.empty() ? sender : message.subject;
    if (probe_.pending && message.sequence == probe_.sequence && subject == probe_.target) {
        probe_.pending = false;
        return;
    }
    const auto relayed = relays_.find(message.sequence);
    if (relayed == relays_.end() || relayed->second.target != sender) {
        return;
    }
    const member_entry* requester = table_.find(relayed->second.requester);
    if (requester != nullptr) {
        send(requester->update, gossip_kind::ack, relayed->second.requester_sequence, sender);
    }
    relays_.erase(relayed);
}

void membership::compare_digest(const host_id& sender, const gossip_message& message, instant now) {
    const bool probe_kind = message.kind == gossip_kind::ping || message.kind == gossip_kind::ack;
    if (!probe_kind) {
        return;
    }
    if (message.digest == table_.digest()) {
        digest_mismatch_ = false;
        return;
    }
    if (!digest_mismatch_) {
        digest_mismatch_ = true;
        digest_mismatch_since_ = now;
        return;
    }
    const member_entry* from = table_.find(sender);
    if (from == nullptr || now < next_sync_ ||
        now - digest_mismatch_since_ < settings_.mismatch_before_sync) {
        return;
    }
    next_sync_ = now + settings_.sync_period;
    digest_mismatch_ = false;
    send_member_list(from->update, gossip_kind::join);
}

void membership::apply_update(const member_update& update, instant now) {
    if (table_.apply(update, now)) {
        digest_mismatch_ = false;
        queue_update(update);
    }
}

void membership::queue_update(const member_update& update) {
    const std::size_t hosts = table_.live_hosts(self_.data_centre).size();
    // Suspicions expire in the data centre of the host, where a refutation must not be delayed.
    const bool urgent = update.data_centre == self_.data_centre;
    local_queue_.add(update, settings_.retransmit_factor * update_queue::decimal_digits(hosts + 1),
                     urgent);
    if (is_bridge_ && update.state != member_state::suspect) {
        remote_queue_.add(update, 2 * table_.data_centres().size(), urgent);
    }
}

void membership::refute(const member_update& claim, instant now) {
    const bool newer = claim.incarnation > self_.incarnation;
    const bool wrong = claim.incarnation == self_.incarnation && claim.state > self_.state;
    if (!newer && !wrong) {
        return;
    }
    self_.incarnation = claim.incarnation + 1;
    table_.apply(self_, now);
    queue_update(self_);
    for (const host_id& peer : random_peers(settings_.indirect_probes, self_.host)) {
        send(table_.find(peer)->update, gossip_kind::ping, ++last_sequence_, host_id());
    }
}

void membership::leave(instant now) {
    self_.state = member_state::leaving;
    announce(self_, now);
}

void membership::stop(instant now) {
    self_.state = member_state::dead;
    announce(self_, now);
}

void membership::announce(const member_update& update, instant now) {
    table_.apply(update, now);
    queue_update(update);
    for (const data_centre_id& data_centre : table_.data_centres()) {
        const std::vector<host_id> hosts = data_centre == self_.data_centre
                                               ? table_.live_hosts(data_centre)
                                               : bridge_selector_.bridges_of(table_, data_centre);
        for (const host_id& host : hosts) {
            if (host != self_.host) {
                const member_update& to = table_.find(host)->update;
                outgoing_.push_back(outgoing_gossip{
                    to, make_message(gossip_kind::ping, ++last_sequence_, host_id())});
                outgoing_.back().message.updates = {update};
            }
        }
    }
}

gossip_message membership::make_message(gossip_kind kind, std::uint64_t sequence,
                                        const host_id& subject) const {
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.subject = subject;
    message.digest = table_.digest();
    message.beats = data_centre_monitor_.heartbeats();
    return message;
}

void membership::send(const member_update& to, gossip_kind kind, std::uint64_t sequence,
                      const host_id& subject) {
    const bool local = to.data_centre == self_.data_centre;
    gossip_message message = make_message(kind, sequence, subject);
    message.updates =
        (local ? local_queue_ : remote_queue_).take(settings_.max_updates_per_message);
    // A host that is suspect or dead receives its own entry, so that it can refute it.
    const bool suspected = to.state == member_state::suspect || to.state == member_state::dead;
    if (suspected) {
        message.updates.push_back(to);
    }
    if (last_tick_ < include_self_until_) {
        message.updates.push_back(self_);
    }
    outgoing_.push_back(outgoing_gossip{to, std::move(message)});
}

void membership::send_member_list(const member_update& to, gossip_kind kind) {
    gossip_message message = make_message(kind, 0, host_id());
    message.updates = table_.all_updates();
    outgoing_.push_back(outgoing_gossip{to, std::move(message)});
}

std::vector<outgoing_gossip> membership::take_outgoing() {
    return std::exchange(outgoing_, {});
}

std::vector<member_change> membership::take_changes() {
    return table_.take_changes();
}

bool membership::reachable(const data_centre_id& data_centre, instant now) const {
    return data_centre_monitor_.reachable(data_centre, now);
}

std::vector<host_id> membership::live_hosts(const data_centre_id& data_centre, instant now) const {
    if (!reachable(data_centre, now)) {
        return {};
    }
    return table_.live_hosts(data_centre);
}

}  // namespace fuchsiaquay
