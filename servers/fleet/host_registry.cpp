#include "servers/fleet/host_registry.hpp"

#include <algorithm>
#include <utility>

#include "core/error/operation_error.hpp"
#include "core/fleet/announcement_routes.hpp"
#include "core/freshness/store_revision.hpp"
#include "core/hashing/stagger_delay.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/datagram_channel.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Period of reading the entries of the other hosts. Announcements report changes in between.
constexpr duration directory_period = std::chrono::seconds(60);
/// Period of heartbeats. One in `complete_interval` heartbeats is a complete announcement, which
/// compensates for lost ones.
constexpr duration announce_period = std::chrono::milliseconds(500);
constexpr std::uint64_t complete_interval = 2;
/// Time within which a host that starts to serve receives a complete announcement of each other
/// host.
constexpr duration initial_announcement_time = std::chrono::milliseconds(1'200);
/// Period of checking whether the state of this host has changed.
constexpr duration state_period = std::chrono::milliseconds(50);
/// A host that was silent for this long is not used as a forwarder. Tolerates one lost
/// announcement.
constexpr duration forwarder_silence_limit = std::chrono::milliseconds(1'100);
/// Callers are not directed to a host that was silent for this long. Tolerates three lost
/// announcements.
constexpr duration silence_limit = std::chrono::milliseconds(1'800);
/// Silence after which a host is removed from the list.
constexpr duration removal_time = std::chrono::seconds(120);
/// The same for a host that has left. Its last datagrams have arrived by then.
constexpr duration left_removal_time = std::chrono::seconds(10);
/// Changes within this time are batched into one announcement.
constexpr duration batch_delay = std::chrono::milliseconds(10);
/// The hosts spread their registrations over this time after a restoration of the store.
constexpr duration restoration_spread = std::chrono::milliseconds(2'000);

/// Incarnations are revisions of the store.
bool of_same_era(std::uint64_t a, std::uint64_t b) {
    return same_era(static_cast<std::int64_t>(a), static_cast<std::int64_t>(b));
}

}  // namespace

host_registry::host_registry(host_record self, polled_store& store, datagram_channel& channel,
                             timer_service& timers, decision_log& log,
                             engine_work_table& work_table, std::string prefix, state_source state,
                             revision_source configuration_revision)
    : self_(std::move(self)),
      store_(store),
      channel_(channel),
      timers_(timers),
      log_(log),
      work_table_(work_table),
      prefix_(std::move(prefix)),
      registration_(store, timers, log, prefix_ + self_.host),
      state_(std::move(state)),
      configuration_revision_(std::move(configuration_revision)) {}

void host_registry::start() {
    work_table_.on_own_change(
        [this](const std::vector<engine_work>& works) { queue_works(works); });
    work_table_.quarantine().on_change([this] { plan_report(); });
    work_table_.rate_limits().on_change([this] { plan_report(); });
    timers_.every(announce_period, [this] {
        expire_silent_peers();
        restore_registration();
        const bool complete = ++heartbeat_count_ % complete_interval == 0;
        announce(complete,
                 complete ? work_table_.own_work_items() : recent_changes_.announce(timers_.now()));
    });
    timers_.every(state_period, [this] {
        if (announced_state_ != state_()) {
            announce_now();
        }
    });
    timers_.every(directory_period, [this] {
        if (serving_) {
            read_directory({});
        }
    });
}

void host_registry::start_serving() {
    if (left_ || std::exchange(serving_, true)) {
        return;
    }
    serving_since_ = timers_.now();
    registration_.start(write_host_record(self_), [this](std::uint64_t revision) {
        self_.incarnation = revision;
        restoration_planned_ = false;
        // If two hosts start at the same time, at least the one that writes later reads the entry
        // of the other.
        read_directory({});
    });
}

bool host_registry::knows_all_work() const {
    return serving_ && timers_.now() - serving_since_ >= initial_announcement_time;
}

void host_registry::stop_serving() {
    if (!serving_) {
        return;
    }
    leave();
    left_ = false;
    serving_ = false;
    self_.incarnation = 0;
    for (const auto& [host, item] : peers_) {
        work_table_.remove_host(host);
    }
}

void host_registry::read_directory(directory_handler done) {
    store_.read_prefix(prefix_, [this, done = std::move(done)](const read_result& result) {
        directory_read_result directory;
        directory.succeeded = result.ok();
        for (const stored_value& value : result.values) {
            try {
                host_record record = read_host_record(value.value);
                record.incarnation = static_cast<std::uint64_t>(value.revision);
                directory.has_own_entry = directory.has_own_entry || record.host == self_.host;
                peer& known = peers_[record.host];
                if (record.host != self_.host && is_new_entry(known, record.incarnation)) {
                    ++directory.new_entries;
                    known = {};
                    known.record = record;
                    known.last_heard_at = timers_.now();
                }
            } catch (const operation_error& error) {
                log_.write(decision_log::level::warning, "host_entry_unreadable",
                           {{"key", value.key}, {"reason", error.what()}});
            }
        }
        peers_.erase(self_.host);
        directory_loaded_ = directory_loaded_ || result.ok();
        announce(true, work_table_.own_work_items());
        if (done) {
            done(directory);
        }
    });
}

void host_registry::restore_registration() {
    const bool registered = serving_ && !left_ && self_.incarnation != 0;
    if (!registered ||
        era_of(configuration_revision_()) <= era_of(static_cast<std::int64_t>(self_.incarnation))) {
        return;
    }
    if (!std::exchange(restoration_planned_, true)) {
        timers_.after(stagger_delay(self_.host, restoration_spread),
                      [this] { registration_.register_again(); });
    }
}

void host_registry::leave() {
    left_ = true;
    announce(true, work_table_.own_work_items());
    registration_.stop();
}

void host_registry::queue_works(const std::vector<engine_work>& works) {
    recent_changes_.add(works);
    changes_pending_ = true;
    const bool urgent = std::any_of(works.begin(), works.end(), [](const engine_work& work) {
        return work.phase == work_phase::prefill || work.phase == work_phase::waiting;
    });
    if (urgent) {
        // Other hosts need new and waiting work for their next decision. Progress and ended work
        // can be batched.
        flush();
    } else if (!std::exchange(flush_planned_, true)) {
        timers_.after(batch_delay, [this] { flush_planned(); });
    }
}

void host_registry::plan_report() {
    if (!std::exchange(report_planned_, true)) {
        timers_.after(batch_delay, [this] {
            report_planned_ = false;
            announce_now();
        });
    }
}

void host_registry::flush_planned() {
    flush_planned_ = false;
    flush();
}

void host_registry::flush() {
    if (std::exchange(changes_pending_, false)) {
        announce(false, recent_changes_.announce(timers_.now()));
    }
}

void host_registry::announce(bool complete, std::vector<engine_work> works) {
    if (self_.incarnation == 0) {
        return;
    }
    announcement message;
    message.sender = self_;
    announced_state_ = state_();
    message.state = left_ ? host_state::leaving : announced_state_;
    message.sequence = ++sequence_;
    message.configuration_revision = configuration_revision_();
    message.complete = complete;
    message.requests_per_s = requests_per_s_;
    message.works = std::move(works);
    message.slow_engines = work_table_.slowdowns().observed(timers_.now());
    if (complete) {
        message.prompt_parts = work_table_.quarantine().report(timers_.now());
        message.rate_limits = work_table_.rate_limits().notices(timers_.now());
        // Complete announcements are always sent directly, so that a failed forwarder only delays
        // changes.
        std::vector<network_address> all;
        for (const auto& [host, item] : peers_) {
            all.push_back(item.record.datagram_address);
        }
        channel_.send(all, message);
        return;
    }
    const announcement_routes routes = plan_announcement_routes(self_, announcement_peers());
    channel_.send(routes.direct, message);
    message.forward = true;
    channel_.send(routes.forwarders, message);
}

std::vector<announcement_peer> host_registry::announcement_peers() const {
    const instant now = timers_.now();
    std::vector<announcement_peer> result;
    for (const auto& [host, item] : peers_) {
        const bool heard_recently = item.heard && item.state != host_state::leaving &&
                                    now - item.last_heard_at < forwarder_silence_limit;
        result.push_back({item.record, heard_recently});
    }
    return result;
}

void host_registry::forward_announcement(announcement message) {
    message.forward = false;
    std::vector<network_address> to;
    for (const auto& [host, item] : peers_) {
        if (item.record.data_centre == self_.data_centre) {
            to.push_back(item.record.datagram_address);
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
    const std::uint64_t incarnation = message.sender.incarnation;
    const bool same_process = known.record.incarnation == incarnation;
    const bool outdated =
        same_process ? message.sequence <= known.sequence : known.replaces(incarnation);
    const bool addresses_unknown = !same_process && !message.complete;
    if (outdated || addresses_unknown) {
        return;
    }
    if (message.forward) {
        forward_announcement(message);
    }
    if (!same_process || !known.heard || known.state != message.state) {
        log_.write(decision_log::level::info, "host_heard",
                   {{"peer", host},
                    {"state", name_of(message.state)},
                    {"incarnation", std::to_string(message.sender.incarnation)}});
    }
    if (message.complete) {
        known.record = message.sender;
        known.requests_per_s = message.requests_per_s;
        merge_prompt_parts(host, message.prompt_parts);
        work_table_.rate_limits().merge(message.rate_limits);
    }
    known.state = message.state;
    known.sequence = message.sequence;
    known.last_heard_at = timers_.now();
    known.heard = true;
    if (newer_configuration_ && message.configuration_revision > configuration_revision_()) {
        newer_configuration_(known.record);
    }
    for (const slow_engine& engine : message.slow_engines) {
        work_table_.slowdowns().observe_remote(engine, known.last_heard_at);
    }
    if (message.complete) {
        work_table_.replace_remote_work(host, message.works);
        return;
    }
    for (const engine_work& work : message.works) {
        work_table_.apply_remote_work(host, work);
    }
}

void host_registry::merge_prompt_parts(const std::string& from, const prompt_part_report& report) {
    for (const std::string& part : work_table_.quarantine().merge(report, timers_.now())) {
        log_.write(decision_log::level::warning, "prompt_part_quarantined",
                   {{"part", part}, {"source", from}});
    }
}

void host_registry::expire_silent_peers() {
    const instant now = timers_.now();
    for (auto item = peers_.begin(); item != peers_.end();) {
        peer& known = item->second;
        if (known.heard && !is_alive(known, now)) {
            known.heard = false;
            work_table_.remove_host(item->first);
            log_.write(decision_log::level::warning, "host_silent",
                       {{"peer", item->first},
                        {"silent_ms", std::to_string(to_milliseconds(now - known.last_heard_at))}});
        }
        const duration limit =
            known.state == host_state::leaving ? left_removal_time : removal_time;
        item = now - known.last_heard_at > limit ? peers_.erase(item) : std::next(item);
    }
}

bool host_registry::peer::replaces(std::uint64_t incarnation) const {
    return record.incarnation > incarnation &&
           (heard || of_same_era(record.incarnation, incarnation));
}

bool host_registry::is_new_entry(const peer& known, std::uint64_t incarnation) const {
    const std::uint64_t known_incarnation = known.record.incarnation;
    const bool runs_since_an_earlier_era =
        is_alive(known, timers_.now()) && !of_same_era(known_incarnation, incarnation);
    return known_incarnation < incarnation && !runs_since_an_earlier_era;
}

bool host_registry::is_alive(const peer& item, instant now) const {
    return item.heard && now - item.last_heard_at < silence_limit;
}

const host_record* host_registry::find(const std::string& host) const {
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second.record;
}

engine_work_table& host_registry::work_table() const {
    return work_table_;
}

void host_registry::announce_now() {
    announce(true, work_table_.own_work_items());
}

}  // namespace fuchsiaquay
