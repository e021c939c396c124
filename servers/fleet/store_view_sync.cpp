#include "servers/fleet/store_view_sync.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet/view_sources.hpp"
#include "core/freshness/store_revision.hpp"
#include "core/hashing/rendezvous.hpp"
#include "core/hashing/stagger_delay.hpp"
#include "core/identity/names.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/datagram_channel.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/host_queries.hpp"
#include "servers/fleet/host_registry.hpp"
#include "servers/fleet/serving_role.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(50);
/// Period of requests to the watching host.
constexpr duration pull_period = std::chrono::milliseconds(250);
/// The same for a host on standby.
constexpr duration standby_pull_period = std::chrono::milliseconds(400);
/// If a source does not reply within this time, the next request goes to another one.
constexpr duration reply_timeout = std::chrono::milliseconds(450);
/// Several hosts may announce the same new configuration within this time. Only one is asked.
constexpr duration repeat_interval = std::chrono::milliseconds(60);
/// Age of a copy above which a host looks for a better source and watches the store itself. The age
/// reported by a working source is at most one poll period plus the lag of the store's watches.
constexpr duration stale_age = std::chrono::milliseconds(2'600);
/// Time after the start for the hosts to discover each other before they choose the watching host.
constexpr duration settle_time = std::chrono::milliseconds(100);
constexpr duration settle_limit = std::chrono::milliseconds(1'200);
/// Time after that for the first replies of the watching hosts.
constexpr duration initial_reply_time = std::chrono::milliseconds(700);
/// Delay after a failed call to the store, for a watching host and for a fallback host.
constexpr duration watcher_retry = std::chrono::milliseconds(200);
constexpr duration fallback_retry = std::chrono::milliseconds(1'000);
/// Period of requests while a host has no configuration or catalogue yet.
constexpr duration initial_pull_period = std::chrono::milliseconds(50);
/// The same for a host on standby. Longer, so that serving hosts recover first if all hosts
/// restart.
constexpr duration initial_standby_pull_period = std::chrono::milliseconds(200);
/// Hosts on standby spread fetches of a large configuration over this time.
constexpr duration configuration_spread = std::chrono::milliseconds(1'500);
/// The same for their first fetch of a large catalogue, and the minimum time between such fetches.
constexpr duration catalogue_spread = std::chrono::milliseconds(2'500);
constexpr duration catalogue_fetch_pause = std::chrono::milliseconds(2'000);
/// Number of hosts of a data centre that are the first to watch the store if the watching host
/// fails. The others wait longer, so that an outage of the store does not cause calls from every
/// host of a large fleet.
constexpr std::size_t first_fallback_hosts = 3;
constexpr duration late_fallback_stale_age = std::chrono::milliseconds(3'400);
constexpr duration late_fallback_retry = std::chrono::milliseconds(4'000);
/// One in this many requests asks for the whole catalogue, which repairs differences caused by
/// inconsistent replies of several sources.
constexpr std::uint64_t whole_catalogue_interval = 8;
/// The same for a large catalogue.
constexpr std::uint64_t large_catalogue_interval = 128;
/// Number of upstreams from which a catalogue counts as large.
constexpr std::size_t large_catalogue_size = 400;
/// Maximum number of changes in a reply datagram. If there are more, the receiver fetches them.
constexpr std::size_t max_changes_per_reply = 300;
constexpr const char* watch_key = "watch";

}  // namespace

store_view_sync::store_view_sync(host_record self, const store_view_sync_services& services)
    : self_(std::move(self)),
      services_(services),
      started_at_(services.timers.now()),
      catalogue_fetch_due_at_(started_at_ + stagger_delay(self_.host, catalogue_spread)) {}

void store_view_sync::start() {
    services_.timers.every(tick_period, [this] { tick(); });
    services_.hosts.on_newer_configuration(
        [this](const host_record& host) { request_newer_configuration(host); });
}

void store_view_sync::tick() {
    const instant now = services_.timers.now();
    update_behind();
    if (!settled_at_) {
        const bool discovered =
            services_.hosts.directory_loaded() && now - started_at_ >= settle_time;
        if (!discovered && now - started_at_ < settle_limit) {
            return;
        }
        settled_at_ = now;
    }
    if (now - watching_updated_at_ >= pull_period) {
        watching_updated_at_ = now;
        update_watching(now);
    }
    const bool outdated = services_.configuration_mirror.age() > stale_age ||
                          services_.upstream_mirror.age() > stale_age;
    const bool started = services_.configuration.revision() > 0 && services_.upstreams.loaded();
    const bool serving = services_.role.serving();
    const duration usual = serving ? pull_period : standby_pull_period;
    const duration first = serving ? initial_pull_period : initial_standby_pull_period;
    const bool due = now - pulled_at_ >= (started ? usual : first);
    if (due && (!watcher_ || outdated)) {
        pulled_at_ = now;
        pull(now);
    }
}

void store_view_sync::update_behind() {
    services_.configuration_mirror.set_behind(newest_configuration_ >
                                              services_.configuration.revision());
}

void store_view_sync::update_watching(instant now) {
    const bool should_watch = is_watcher();
    if (should_watch != watcher_) {
        services_.log.write(decision_log::level::info, "store_watch",
                            {{"watching", should_watch ? "yes" : "no"},
                             {"hosts", std::to_string(services_.hosts.live_peers().size() + 1)}});
    }
    watcher_ = should_watch;
    const bool awaiting_replies = now - *settled_at_ < initial_reply_time;
    const bool first = is_first_fallback();
    const duration limit = first ? stale_age : late_fallback_stale_age;
    const duration retry =
        watcher_ ? watcher_retry : (first ? fallback_retry : late_fallback_retry);
    for (prefix_mirror* mirror : {&services_.configuration_mirror, &services_.upstream_mirror}) {
        // Hosts on standby need no fallback: one that hears from no serving host starts to serve.
        const bool is_fallback =
            services_.role.serving() && !awaiting_replies && mirror->age() > limit;
        mirror->follow(watcher_ || is_fallback, retry);
    }
}

std::vector<host_id> store_view_sync::local_hosts() const {
    std::vector<host_record> live = services_.hosts.live_peers();
    if (services_.role.serving()) {
        live.push_back(self_);
    }
    return view_sources(live, self_.data_centre);
}

bool store_view_sync::is_watcher() const {
    return services_.role.serving() &&
           rendezvous_owner(watch_key, local_hosts()) == host_id(self_.host);
}

bool store_view_sync::is_first_fallback() const {
    const std::vector<host_id> first =
        rendezvous_order(watch_key, local_hosts(), first_fallback_hosts);
    return std::find(first.begin(), first.end(), host_id(self_.host)) != first.end();
}

std::vector<host_record> store_view_sync::choose_sources() const {
    const std::vector<host_record> live = services_.hosts.live_peers();
    if (live.empty()) {
        return listed_by_latest_start();
    }
    // There are many hosts on standby, so they are spread over the sources.
    const std::string key = services_.role.serving() ? watch_key : self_.host;
    std::vector<host_id> chosen =
        rendezvous_order(key, view_sources(live, self_.data_centre), min_view_sources);
    for (const host_record& host : live) {
        if (host.data_centre == self_.data_centre) {
            continue;
        }
        const host_id owner = rendezvous_owner(watch_key, view_sources(live, host.data_centre));
        if (std::find(chosen.begin(), chosen.end(), owner) == chosen.end()) {
            chosen.push_back(owner);
        }
    }
    std::vector<host_record> result;
    for (const host_id& id : chosen) {
        if (const host_record* host = services_.hosts.find(id.value())) {
            result.push_back(*host);
        }
    }
    return result;
}

std::vector<host_record> store_view_sync::listed_by_latest_start() const {
    std::vector<host_record> listed = services_.hosts.listed_peers();
    std::sort(listed.begin(), listed.end(), [](const host_record& a, const host_record& b) {
        return a.incarnation > b.incarnation;
    });
    return listed;
}

void store_view_sync::pull(instant now) {
    if (pending_request_ && now - pending_request_->sent_at < reply_timeout) {
        return;
    }
    if (pending_request_) {
        ++source_index_;
    }
    const std::vector<host_record> candidates = choose_sources();
    if (candidates != candidates_) {
        // Hosts that are preferred over the current source may have become available.
        candidates_ = candidates;
        source_index_ = 0;
    }
    if (!candidates.empty()) {
        send_request(candidates[source_index_ % candidates.size()]);
    }
}

void store_view_sync::request_newer_configuration(const host_record& host) {
    const bool already_asked =
        pending_request_ && services_.timers.now() - pending_request_->sent_at < repeat_interval;
    if (!already_asked && !fetching_configuration_ && !watcher_ && settled_at_) {
        send_request(host);
    }
}

void store_view_sync::send_request(const host_record& host) {
    view_request request;
    request.sender = self_;
    request.standby = !services_.role.serving();
    request.nonce = ++nonce_;
    const bool large = services_.upstreams.size() >= large_catalogue_size;
    const bool whole =
        ++request_count_ % (large ? large_catalogue_interval : whole_catalogue_interval) == 0;
    request.catalogue_revision = whole ? 0 : services_.upstreams.revision();
    pending_request_ = sent_request{host.host, services_.timers.now(), request.catalogue_revision};
    services_.channel.send({host.datagram_address}, request);
}

void store_view_sync::handle_request(const view_request& request) {
    view_reply reply;
    reply.sender = self_.host;
    reply.nonce = request.nonce;
    reply.configuration_revision = services_.configuration.revision();
    reply.configuration_age = services_.configuration_mirror.age();
    reply.evacuations = services_.evacuations.current();
    reply.evacuations_as_of = services_.evacuations.as_of();
    reply.catalogue_age = services_.upstream_mirror.age();
    reply.catalogue = services_.upstreams.changes_after(request.catalogue_revision);
    if (reply.catalogue.changes.size() > max_changes_per_reply) {
        reply.catalogue.changes.clear();
        reply.catalogue_left_out = true;
    }
    if (request.standby) {
        reply.serving_hosts = services_.hosts.reported_hosts();
        reply.invitation = services_.role.should_invite(request.sender);
        const engine_work_table& work_table = services_.hosts.work_table();
        const instant now = services_.timers.now();
        reply.quarantined_parts = work_table.quarantine().report(now).quarantined;
        reply.rate_limits = work_table.rate_limits().notices(now);
    }
    services_.channel.send({request.sender.datagram_address}, reply);
}

void store_view_sync::handle_reply(const view_reply& reply) {
    if (!pending_request_ || reply.nonce != nonce_ || reply.sender != pending_request_->host) {
        return;
    }
    const std::int64_t requested_revision = pending_request_->catalogue_revision;
    const instant requested_at = pending_request_->sent_at;
    pending_request_.reset();
    services_.hosts.merge_reported_hosts(reply.serving_hosts, requested_at);
    if (!services_.role.serving()) {
        services_.hosts.merge_prompt_parts(reply.sender, {{}, {}, {}, reply.quarantined_parts});
        services_.hosts.work_table().rate_limits().merge(reply.rate_limits);
    }
    if (reply.invitation) {
        services_.role.accept_invitation();
    }
    const instant catalogue_as_of = requested_at - reply.catalogue_age;
    if (reply.catalogue_left_out) {
        fetch_catalogue(reply.sender, requested_revision, catalogue_as_of);
    } else {
        apply_catalogue(reply.catalogue, catalogue_as_of);
    }
    services_.evacuations.merge(reply.evacuations, reply.evacuations_as_of, reply.sender);
    newest_configuration_ = std::max(newest_configuration_, reply.configuration_revision);
    update_behind();
    const std::int64_t known_revision = services_.configuration.revision();
    const operator_state state = {reply.configuration_revision, reply.evacuations_as_of > 0,
                                  requested_at - reply.configuration_age};
    if (state.configuration_revision > known_revision) {
        if (const host_record* host = services_.hosts.find(reply.sender)) {
            fetch_configuration(*host, state, false);
        }
    } else if (known_revision > 0 && same_era(known_revision, state.configuration_revision)) {
        confirm(state);
    }
    if (std::max(reply.configuration_age, reply.catalogue_age) > stale_age) {
        ++source_index_;
    }
}

void store_view_sync::confirm(const operator_state& state) {
    if (!services_.evacuations.active() || state.has_evacuations) {
        services_.configuration_mirror.confirm(state.as_of);
    }
}

void store_view_sync::apply_catalogue(const catalogue_delta& delta, instant as_of) {
    services_.upstreams.apply(delta);
    const std::int64_t known_revision = services_.upstreams.revision();
    if (services_.upstreams.loaded() && known_revision >= delta.revision &&
        same_era(known_revision, delta.revision)) {
        services_.upstream_mirror.advance(services_.upstreams.revision());
        services_.upstream_mirror.confirm(as_of);
    }
}

void store_view_sync::fetch_catalogue(const std::string& name, std::int64_t known_revision,
                                      instant as_of) {
    const host_record* host = services_.hosts.find(name);
    const instant now = services_.timers.now();
    const bool is_due = services_.role.serving() || now >= catalogue_fetch_due_at_;
    if (host == nullptr || !is_due || std::exchange(fetching_catalogue_, true)) {
        return;
    }
    catalogue_fetch_due_at_ = now + catalogue_fetch_pause;
    services_.queries.fetch_catalogue(
        host->query_address, known_revision, [this, name, as_of](const catalogue_delta& delta) {
            fetching_catalogue_ = false;
            if (delta.revision == 0) {
                services_.log.write(decision_log::level::warning, "catalogue_not_fetched",
                                    {{"peer", name}});
                return;
            }
            apply_catalogue(delta, as_of);
        });
}

void store_view_sync::fetch_configuration(const host_record& host, const operator_state& state,
                                          bool any_size) {
    if (std::exchange(fetching_configuration_, true)) {
        return;
    }
    services_.queries.fetch_configuration(
        host.query_address, services_.configuration.revision(), any_size,
        [this, host, state, any_size](const configuration_answer& answer) {
            fetching_configuration_ = false;
            if (answer.revision >= state.configuration_revision &&
                services_.configuration.apply_answer(answer)) {
                advance_mirror(answer.revision);
                confirm(state);
            } else if (!any_size && !services_.role.serving()) {
                fetch_after_delay(host, state);
            } else {
                services_.log.write(decision_log::level::info, "configuration_read_from_store",
                                    {{"wanted", std::to_string(state.configuration_revision)},
                                     {"answered", std::to_string(answer.revision)}});
                read_configuration();
            }
        });
}

void store_view_sync::fetch_after_delay(const host_record& host, const operator_state& state) {
    fetching_configuration_ = true;
    const duration delay = stagger_delay(self_.host, configuration_spread,
                                         static_cast<std::uint64_t>(state.configuration_revision));
    services_.timers.after(delay, [this, host, state] {
        fetching_configuration_ = false;
        if (services_.configuration.revision() < state.configuration_revision) {
            fetch_configuration(host, state, true);
        }
    });
}

void store_view_sync::advance_mirror(std::int64_t configuration_revision) {
    // A host that polled only after this revision could miss an earlier change of the evacuations.
    if (!services_.evacuations.active()) {
        services_.configuration_mirror.advance(configuration_revision);
    }
}

void store_view_sync::read_configuration() {
    fetching_configuration_ = true;
    services_.store.read(services_.configuration.key(), [this](const read_result& result) {
        fetching_configuration_ = false;
        for (const stored_value& value : result.values) {
            services_.configuration.apply(value);
            advance_mirror(value.revision);
        }
    });
}

}  // namespace fuchsiaquay
