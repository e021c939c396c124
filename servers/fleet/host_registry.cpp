#include "servers/fleet/host_registry.hpp"

#include <algorithm>
#include <utility>

#include "core/error/step_error.hpp"
#include "core/fleet/announcement_routes.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/datagram_channel.hpp"
#include "servers/fleet/engine_board.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Lifetime of the entry in the store, and the period of its renewal.
constexpr duration lease_time = std::chrono::seconds(30);
constexpr duration renewal_period = std::chrono::seconds(9);
constexpr duration registration_retry = std::chrono::milliseconds(500);
/// Period of reading the other hosts' entries; announcements tell the rest.
constexpr duration directory_period = std::chrono::seconds(60);
/// Period of heartbeats. Each so many are complete announcements, which make good for lost ones.
constexpr duration announce_period = std::chrono::milliseconds(500);
constexpr std::uint64_t complete_period = 2;
/// Period of looking whether this host's own state has changed.
constexpr duration state_period = std::chrono::milliseconds(50);
/// A host that was not heard for this long passes no announcements on; one may be lost.
constexpr duration forwarder_silence_limit = std::chrono::milliseconds(1'100);
/// A host that was not heard for this long takes no callers; three announcements may be lost.
constexpr duration silence_limit = std::chrono::milliseconds(1'800);
/// Silence after which a host is forgotten.
constexpr duration forget_after = std::chrono::seconds(120);
/// Changes within this time share an announcement.
constexpr duration progress_delay = std::chrono::milliseconds(80);

const char* name_of(host_state state) {
    switch (state) {
        case host_state::unready:
            return "unready";
        case host_state::ready:
            return "ready";
        case host_state::leaving:
            return "leaving";
    }
    return "unready";
}

}  // namespace

host_registry::host_registry(host_record self, polled_store& store, datagram_channel& channel,
                             timer_service& timers, decision_log& log, engine_board& board,
                             std::string prefix, state_source state, revision_source configuration)
    : self_(std::move(self)),
      store_(store),
      channel_(channel),
      timers_(timers),
      log_(log),
      board_(board),
      prefix_(std::move(prefix)),
      state_(std::move(state)),
      configuration_(std::move(configuration)) {}

void host_registry::start() {
    board_.on_own_change([this](const engine_work& work) { note_work(work); });
    register_self();
    timers_.every(announce_period, [this] {
        drop_silent();
        const bool complete = ++heartbeats_ % complete_period == 0;
        announce(complete, complete ? board_.own_works() : std::vector<engine_work>());
    });
    timers_.every(state_period, [this] {
        if (announced_ != state_()) {
            announce_now();
        }
    });
    timers_.every(renewal_period, [this] { keep_entry(); });
    timers_.every(directory_period, [this] { read_entries(); });
}

void host_registry::register_self() {
    if (left_) {
        return;
    }
    store_.grant_lease(lease_time, [this](std::int64_t lease) {
        if (lease != 0) {
            write_entry(lease);
        } else {
            timers_.after(registration_retry, [this] { register_self(); });
        }
    });
}

void host_registry::write_entry(std::int64_t lease) {
    transaction change;
    change.writes.push_back({prefix_ + self_.host, write_host_record(self_), false, lease});
    store_.commit(change, [this, lease](const write_result& result) {
        if (result.outcome != write_outcome::applied) {
            log_.write(decision_log::level::warning, "host_registration_failed",
                       {{"lease", std::to_string(lease)}, {"reason", result.failure}});
            timers_.after(registration_retry, [this] { register_self(); });
            return;
        }
        lease_ = lease;
        // The store's revision grows with every start, whatever the host's clocks do.
        self_.incarnation = static_cast<std::uint64_t>(result.revision);
        log_.write(decision_log::level::info, "host_registered",
                   {{"revision", std::to_string(result.revision)}});
        // Of two hosts that start together, at least the later writer sees the other's entry.
        read_entries();
    });
}

void host_registry::keep_entry() {
    if (lease_ == 0 || left_) {
        return;
    }
    store_.keep_alive(lease_, [this, lease = lease_](bool held) {
        if (!held && lease == lease_) {
            log_.write(decision_log::level::warning, "host_entry_lapsed",
                       {{"lease", std::to_string(lease)}});
            lease_ = 0;
            register_self();
        }
    });
}

void host_registry::read_entries() {
    store_.read_prefix(prefix_, [this](const read_result& result) {
        for (const stored_value& value : result.values) {
            try {
                host_record record = read_host_record(value.value);
                record.incarnation = static_cast<std::uint64_t>(value.revision);
                peer& known = peers_[record.host];
                if (record.host != self_.host && known.record.incarnation < record.incarnation) {
                    known = {};
                    known.record = record;
                    known.heard_at = timers_.now();
                }
            } catch (const step_error& error) {
                log_.write(decision_log::level::warning, "host_entry_unreadable",
                           {{"key", value.key}, {"reason", error.what()}});
            }
        }
        peers_.erase(self_.host);
        registered_ = registered_ || result.ok();
        announce(true, board_.own_works());
    });
}

void host_registry::leave() {
    left_ = true;
    announce(true, board_.own_works());
    if (lease_ != 0) {
        store_.revoke_lease(std::exchange(lease_, 0));
    }
}

void host_registry::note_work(const engine_work& work) {
    changes_.push_back(work);
    if (work.phase == work_phase::reading || work.phase == work_phase::waiting) {
        // Others decide by this at once; what ends or goes on can wait a little.
        flush();
    } else if (!std::exchange(flush_planned_, true)) {
        timers_.after(progress_delay, [this] { flush_planned(); });
    }
}

void host_registry::flush_planned() {
    flush_planned_ = false;
    flush();
}

void host_registry::flush() {
    if (!changes_.empty()) {
        announce(false, std::exchange(changes_, {}));
    }
}

void host_registry::announce(bool complete, std::vector<engine_work> works) {
    if (self_.incarnation == 0) {
        return;
    }
    announcement message;
    message.sender = self_;
    announced_ = state_();
    message.state = left_ ? host_state::leaving : announced_;
    message.sequence = ++sequence_;
    message.configuration_revision = configuration_();
    message.complete = complete;
    message.works = std::move(works);
    message.slow = board_.pace().observed(timers_.now());
    if (complete) {
        // These come straight from their host, so that a lost forwarder delays news and no more.
        std::vector<network_address> all;
        for (const auto& [host, item] : peers_) {
            all.push_back(item.record.datagrams);
        }
        channel_.send(all, message);
        return;
    }
    const announcement_routes routes = routes_of(self_, announcement_peers());
    channel_.send(routes.direct, message);
    message.forward = true;
    channel_.send(routes.forwarders, message);
}

std::vector<announcement_peer> host_registry::announcement_peers() const {
    const instant now = timers_.now();
    std::vector<announcement_peer> result;
    for (const auto& [host, item] : peers_) {
        const bool lately = item.heard && item.state != host_state::leaving &&
                            now - item.heard_at < forwarder_silence_limit;
        result.push_back({item.record, lately});
    }
    return result;
}

void host_registry::pass_on(announcement message) {
    message.forward = false;
    std::vector<network_address> to;
    for (const auto& [host, item] : peers_) {
        if (item.record.data_centre == self_.data_centre) {
            to.push_back(item.record.datagrams);
        }
    }
    channel_.send(to, message);
}

void host_registry::receive(const announcement& message) {
    const std::string& host = message.sender.host;
    if (host == self_.host) {
        return;
    }
    const auto found = peers_.find(host);
    if (found == peers_.end() && !message.complete) {
        return;
    }
    peer& known = peers_[host];
    const bool restarted = known.record.incarnation < message.sender.incarnation;
    const bool outdated = known.record.incarnation > message.sender.incarnation ||
                          (!restarted && message.sequence <= known.sequence);
    const bool addresses_unknown = restarted && !message.complete;
    if (outdated || addresses_unknown) {
        return;
    }
    if (message.forward) {
        pass_on(message);
    }
    if (restarted || !known.heard || known.state != message.state) {
        log_.write(decision_log::level::info, "host_heard",
                   {{"peer", host},
                    {"state", name_of(message.state)},
                    {"incarnation", std::to_string(message.sender.incarnation)}});
    }
    if (message.complete) {
        known.record = message.sender;
    }
    known.state = message.state;
    known.sequence = message.sequence;
    known.heard_at = timers_.now();
    known.heard = true;
    if (newer_ && message.configuration_revision > configuration_()) {
        newer_(known.record);
    }
    for (const slow_engine& engine : message.slow) {
        board_.pace().learn(engine, known.heard_at);
    }
    if (message.complete) {
        board_.replace_remote(host, message.works);
        return;
    }
    for (const engine_work& work : message.works) {
        board_.apply_remote(host, work);
    }
}

void host_registry::drop_silent() {
    const instant now = timers_.now();
    for (auto item = peers_.begin(); item != peers_.end();) {
        peer& known = item->second;
        if (known.heard && !alive(known, now)) {
            known.heard = false;
            board_.remove_host(item->first);
            log_.write(decision_log::level::warning, "host_silent",
                       {{"peer", item->first},
                        {"silent_ms", std::to_string(to_milliseconds(now - known.heard_at))}});
        }
        item = now - known.heard_at > forget_after ? peers_.erase(item) : std::next(item);
    }
}

bool host_registry::alive(const peer& item, instant now) const {
    return item.heard && now - item.heard_at < silence_limit;
}

std::vector<host_record> host_registry::ready_hosts() const {
    const instant now = timers_.now();
    std::vector<host_record> result;
    if (!left_ && state_() == host_state::ready) {
        result.push_back(self_);
    }
    for (const auto& [host, item] : peers_) {
        if (item.state == host_state::ready && alive(item, now)) {
            result.push_back(item.record);
        }
    }
    return result;
}

std::vector<host_record> host_registry::live_peers() const {
    const instant now = timers_.now();
    std::vector<host_record> result;
    for (const auto& [host, item] : peers_) {
        if (item.state != host_state::leaving && alive(item, now)) {
            result.push_back(item.record);
        }
    }
    return result;
}

const host_record* host_registry::find(const std::string& host) const {
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second.record;
}

void host_registry::announce_now() {
    announce(true, board_.own_works());
}

}  // namespace fuchsiaquay
