#include "servers/membership/membership_service.hpp"

#include <utility>

#include "servers/decision_log.hpp"
#include "servers/peer_transport.hpp"

namespace fuchsiaquay {
namespace {

constexpr duration tick_period = std::chrono::milliseconds(100);

}  // namespace

std::string node_key(const host_id& host) {
    return "fuchsiaquay/nodes/" + host.value();
}

membership_service::membership_service(timer_service& timers, peer_transport& transport,
                                       decision_log& log, membership_settings settings,
                                       const member_update& self, std::uint64_t seed)
    : timers_(timers),
      transport_(transport),
      log_(log),
      membership_(settings, self, seed, timers.now()) {
    timer_ = timers_.every(tick_period, [this] { tick(); });
}

membership_service::~membership_service() {
    timers_.cancel(timer_);
}

void membership_service::set_seed_peers(std::vector<member_update> peers) {
    membership_.set_seed_peers(std::move(peers));
}

void membership_service::receive(const host_id& sender, const gossip_message& message) {
    membership_.receive(sender, message, timers_.now());
    flush();
}

void membership_service::on_change(observer changed) {
    observers_.push_back(std::move(changed));
}

void membership_service::leave() {
    membership_.leave(timers_.now());
    flush();
}

void membership_service::stop() {
    membership_.stop(timers_.now());
    flush();
}

void membership_service::tick() {
    membership_.tick(timers_.now());
    flush();
}

void membership_service::flush() {
    for (const outgoing_gossip& out : membership_.take_outgoing()) {
        transport_.send(out.to, out.message);
    }
    for (const member_change& change : membership_.take_changes()) {
        log_.write(
            decision_log::level::info, "member_change",
            {{"host", change.member.host.value()},
             {"state", to_string(change.member.state)},
             {"before", change.previous_state ? to_string(*change.previous_state) : "unlisted"},
             {"incarnation", std::to_string(change.member.incarnation)}});
        for (const observer& notify : observers_) {
            notify(change);
        }
    }
}

std::vector<host_id> membership_service::live_hosts(const data_centre_id& data_centre) const {
    return membership_.live_hosts(data_centre, timers_.now());
}

std::optional<member_update> membership_service::find(const host_id& host) const {
    const member_entry* entry = membership_.members().find(host);
    if (entry == nullptr || entry->update.state == member_state::dead) {
        return std::nullopt;
    }
    return entry->update;
}

std::vector<member_update> membership_service::members() const {
    return membership_.members().all_updates();
}

std::vector<data_centre_id> membership_service::data_centres() const {
    return membership_.members().data_centres();
}

bool membership_service::reachable(const data_centre_id& data_centre) const {
    return membership_.reachable(data_centre, timers_.now());
}

}  // namespace fuchsiaquay
