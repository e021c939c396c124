#include "servers/upstreams/upstream_service.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "core/hashing/rendezvous.hpp"
#include "servers/decision_log.hpp"
#include "servers/membership/membership_service.hpp"
#include "servers/peer_transport.hpp"
#include "servers/upstreams/host_list_source.hpp"

namespace fuchsiaquay {
namespace {

constexpr const char* poller_key = "host-list";
constexpr std::size_t pollers_per_data_centre = 2;
/// Keeps messages far below the frame size limit; an upstream takes about 200 bytes.
constexpr std::size_t max_upstreams_per_message = 500;
/// A lost update is detected within this time.
constexpr duration reminder_period = std::chrono::seconds(10);

}  // namespace

upstream_service::upstream_service(timer_service& timers, peer_transport& transport,
                                   decision_log& log, const membership_service& members,
                                   host_list_source& list, duration poll_period)
    : timers_(timers),
      transport_(transport),
      log_(log),
      members_(members),
      list_source_(list),
      polled_(members.self().incarnation) {
    poll_timer_ = timers_.every(poll_period, [this] { poll(); });
    reminder_timer_ = timers_.every(reminder_period, [this] { send_reminder(); });
}

upstream_service::~upstream_service() {
    timers_.cancel(poll_timer_);
    timers_.cancel(reminder_timer_);
}

void upstream_service::elect_pollers() {
    pollers_ = rendezvous_order(poller_key, members_.live_hosts(members_.self().data_centre),
                                pollers_per_data_centre);
    const host_id& self = members_.self().host;
    is_poller_ = std::find(pollers_.begin(), pollers_.end(), self) != pollers_.end();
    if (!is_poller_) {
        informed_hosts_.clear();
        has_list_ = false;
    }
    if (catalogue_.retain_pollers(pollers_)) {
        notify();
    }
}

void upstream_service::poll() {
    elect_pollers();
    if (!is_poller_ || read_pending_) {
        return;
    }
    read_pending_ = true;
    list_source_.read([this](const std::string& failure, const std::vector<upstream>& upstreams) {
        read_pending_ = false;
        if (!failure.empty()) {
            log_.write(decision_log::level::warning, "host_list_unread", {{"error", failure}});
            return;
        }
        const bool changed = polled_.set_list(upstreams);
        if (changed || !has_list_) {
            has_list_ = true;
            publish();
        }
        inform_new_hosts();
    });
}

void upstream_service::set_overrides(std::vector<upstream_override> overrides) {
    if (polled_.set_overrides(std::move(overrides)) && is_poller_ && has_list_) {
        publish();
    }
}

void upstream_service::publish() {
    const host_id& self = members_.self().host;
    const std::optional<upstream_update> changes = polled_.refresh();
    if (changes) {
        log_.write(decision_log::level::info, "upstreams_changed",
                   {{"changed", std::to_string(changes->changed.size())},
                    {"gone", std::to_string(changes->gone.size())}});
        broadcast(*changes);
    }
    const bool applied =
        changes && catalogue_.apply(self, *changes) != upstream_catalogue::outcome::incomplete;
    if (!applied) {
        for (const upstream_update& part : polled_.full_updates(max_upstreams_per_message)) {
            catalogue_.apply(self, part);
        }
    }
    notify();
}

void upstream_service::inform_new_hosts() {
    const host_id& self = members_.self().host;
    for (const host_id& host : members_.live_hosts(members_.self().data_centre)) {
        if (host != self && informed_hosts_.insert(host).second) {
            send_complete(host);
        }
    }
}

void upstream_service::broadcast(const upstream_update& update) {
    for (const host_id& host : informed_hosts_) {
        send(host, update);
    }
}

void upstream_service::send_complete(const host_id& to) {
    for (const upstream_update& part : polled_.full_updates(max_upstreams_per_message)) {
        send(to, part);
    }
}

void upstream_service::send_reminder() {
    if (!is_poller_ || !has_list_) {
        return;
    }
    for (auto it = informed_hosts_.begin(); it != informed_hosts_.end();) {
        it = members_.find(*it) ? std::next(it) : informed_hosts_.erase(it);
    }
    broadcast(polled_.empty_update());
}

void upstream_service::send(const host_id& to, const upstream_update& update) {
    if (const std::optional<member_update> member = members_.find(to)) {
        transport_.send(*member, update);
    }
}

void upstream_service::receive(const host_id& sender, const upstream_update& message) {
    if (message.request) {
        if (is_poller_ && has_list_) {
            informed_hosts_.insert(sender);
            send_complete(sender);
        }
        return;
    }
    apply(sender, message);
}

void upstream_service::apply(const host_id& poller, const upstream_update& update) {
    switch (catalogue_.apply(poller, update)) {
        case upstream_catalogue::outcome::unchanged:
            break;
        case upstream_catalogue::outcome::changed:
            notify();
            break;
        case upstream_catalogue::outcome::incomplete: {
            upstream_update request;
            request.request = true;
            send(poller, request);
            break;
        }
    }
}

void upstream_service::notify() {
    for (const observer& changed : observers_) {
        changed();
    }
}

std::vector<upstream> upstream_service::all() const {
    std::vector<upstream> list;
    list.reserve(catalogue_.all().size());
    for (const auto& [id, target] : catalogue_.all()) {
        list.push_back(target);
    }
    return list;
}

std::optional<upstream> upstream_service::find(const upstream_id& id) const {
    return catalogue_.find(id);
}

}  // namespace fuchsiaquay
