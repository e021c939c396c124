#include "servers/fleet/store_view_sync.hpp"

#include <algorithm>
#include <utility>

#include "core/hashing/rendezvous.hpp"
#include "core/hashing/spread.hpp"
#include "core/identity/names.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/datagram_channel.hpp"
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
/// Period of questions to the watching host.
constexpr duration pull_period = std::chrono::milliseconds(250);
/// The same for a host that stands by.
constexpr duration standby_pull_period = std::chrono::milliseconds(400);
/// A source that does not answer within this time is not asked again at once.
constexpr duration answer_limit = std::chrono::milliseconds(450);
/// Several hosts may tell of the same new configuration within this time.
constexpr duration repeat_limit = std::chrono::milliseconds(60);
/// Age of a copy from which a host looks for a better source, and watches the store itself. A
/// source's age is at most that of its own watch: one poll and the lag of the store's watches.
constexpr duration old_copy = std::chrono::milliseconds(2'600);
/// Time after the start for the hosts to hear of each other before they choose who watches.
constexpr duration settle_time = std::chrono::milliseconds(100);
constexpr duration settle_limit = std::chrono::milliseconds(1'200);
/// Time after that for the first answers of the watching hosts.
constexpr duration first_answers = std::chrono::milliseconds(700);
/// Pauses after a failed call to the store: of a watching host, and of one that stands in.
constexpr duration watcher_retry = std::chrono::milliseconds(200);
constexpr duration stand_in_retry = std::chrono::milliseconds(1'000);
/// Period of questions of a host that has nothing yet.
constexpr duration first_pulls = std::chrono::milliseconds(50);
/// The same for a host that stands by: after a loss of all hosts the serving ones go first.
constexpr duration first_standby_pulls = std::chrono::milliseconds(200);
/// Hosts that stand by spread fetches of a large configuration over this time.
constexpr duration configuration_spread = std::chrono::milliseconds(1'500);
/// The same for their first fetch of a large catalogue, and the pause between such fetches.
constexpr duration catalogue_spread = std::chrono::milliseconds(2'500);
constexpr duration catalogue_pause = std::chrono::milliseconds(2'000);
/// Hosts of a data centre that stand in first. The others wait longer, so that an outage of the
/// store does not bring calls from every host of a large fleet.
constexpr std::size_t first_stand_ins = 3;
constexpr duration further_old_copy = std::chrono::milliseconds(3'400);
constexpr duration further_retry = std::chrono::milliseconds(4'000);
/// Each so many questions ask for the whole catalogue, which heals what several sources told
/// differently.
constexpr std::uint64_t whole_catalogue_period = 8;
/// The same for a large catalogue.
constexpr std::uint64_t large_catalogue_period = 128;
/// Upstreams from which a catalogue is large.
constexpr std::size_t large_catalogue = 400;
/// Changes that are told in a datagram; more are fetched.
constexpr std::size_t most_told_changes = 300;
/// Hosts of the same data centre that are asked.
constexpr std::size_t near_sources = 2;
constexpr const char* watch_key = "watch";

std::vector<host_id> ids_of(const std::vector<host_record>& hosts, const std::string& data_centre) {
    std::vector<host_id> ids;
    for (const host_record& host : hosts) {
        if (host.data_centre == data_centre) {
            ids.emplace_back(host.host);
        }
    }
    return ids;
}

}  // namespace

store_view_sync::store_view_sync(host_record self, const store_view_sync_services& services)
    : self_(std::move(self)),
      services_(services),
      started_at_(services.timers.now()),
      catalogue_turn_(started_at_ + spread_delay(self_.host, catalogue_spread)) {}

void store_view_sync::start() {
    services_.timers.every(tick_period, [this] { tick(); });
    services_.hosts.on_newer_configuration(
        [this](const host_record& host) { ask_for_newer(host); });
}

void store_view_sync::tick() {
    const instant now = services_.timers.now();
    if (!settled_at_) {
        const bool known = services_.hosts.directory_loaded() && now - started_at_ >= settle_time;
        if (!known && now - started_at_ < settle_limit) {
            return;
        }
        settled_at_ = now;
    }
    if (now - decided_at_ >= pull_period) {
        decided_at_ = now;
        decide_duty(now);
    }
    const bool old = services_.configuration_mirror.age() > old_copy ||
                     services_.upstream_mirror.age() > old_copy;
    const bool started = services_.configuration.revision() > 0 && services_.upstreams.loaded();
    const bool serving = services_.role.serving();
    const duration usual = serving ? pull_period : standby_pull_period;
    const duration first = serving ? first_pulls : first_standby_pulls;
    const bool due = now - pulled_at_ >= (started ? usual : first);
    if (due && (!watcher_ || old)) {
        pulled_at_ = now;
        pull(now);
    }
}

void store_view_sync::decide_duty(instant now) {
    const bool watches = is_watcher();
    if (watches != watcher_) {
        services_.log.write(decision_log::level::info, "store_watch",
                            {{"watching", watches ? "yes" : "no"},
                             {"hosts", std::to_string(services_.hosts.live_peers().size() + 1)}});
    }
    watcher_ = watches;
    const bool patient = now - *settled_at_ < first_answers;
    const bool first = stands_in_first();
    const duration limit = first ? old_copy : further_old_copy;
    const duration retry = watcher_ ? watcher_retry : (first ? stand_in_retry : further_retry);
    for (prefix_mirror* mirror : {&services_.configuration_mirror, &services_.upstream_mirror}) {
        // A host that hears of no serving host becomes one.
        const bool stands_in = services_.role.serving() && !patient && mirror->age() > limit;
        mirror->follow(watcher_ || stands_in, retry);
    }
}

std::vector<host_id> store_view_sync::near_hosts() const {
    std::vector<host_id> near = ids_of(services_.hosts.live_peers(), self_.data_centre);
    if (services_.role.serving()) {
        near.emplace_back(self_.host);
    }
    return near;
}

bool store_view_sync::is_watcher() const {
    return services_.role.serving() &&
           rendezvous_owner(watch_key, near_hosts()) == host_id(self_.host);
}

bool store_view_sync::stands_in_first() const {
    const std::vector<host_id> first = rendezvous_order(watch_key, near_hosts(), first_stand_ins);
    return std::find(first.begin(), first.end(), host_id(self_.host)) != first.end();
}

std::vector<host_record> store_view_sync::sources() const {
    const std::vector<host_record> live = services_.hosts.live_peers();
    if (live.empty()) {
        return newest_listed();
    }
    // Hosts that stand by are many: they spread over the serving ones.
    const std::string key = services_.role.serving() ? watch_key : self_.host;
    std::vector<host_id> chosen =
        rendezvous_order(key, ids_of(live, self_.data_centre), near_sources);
    for (const host_record& host : live) {
        if (host.data_centre == self_.data_centre) {
            continue;
        }
        const host_id owner = rendezvous_owner(watch_key, ids_of(live, host.data_centre));
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

std::vector<host_record> store_view_sync::newest_listed() const {
    std::vector<host_record> listed = services_.hosts.listed_peers();
    std::sort(listed.begin(), listed.end(), [](const host_record& a, const host_record& b) {
        return a.incarnation > b.incarnation;
    });
    return listed;
}

void store_view_sync::pull(instant now) {
    if (open_ && now - open_->sent_at < answer_limit) {
        return;
    }
    if (open_) {
        ++source_;
    }
    const std::vector<host_record> candidates = sources();
    if (candidates != candidates_) {
        // Others may have come back that are better than the one asked last.
        candidates_ = candidates;
        source_ = 0;
    }
    if (!candidates.empty()) {
        ask(candidates[source_ % candidates.size()]);
    }
}

void store_view_sync::ask_for_newer(const host_record& host) {
    const bool asked = open_ && services_.timers.now() - open_->sent_at < repeat_limit;
    if (!asked && !fetching_ && !watcher_ && settled_at_) {
        ask(host);
    }
}

void store_view_sync::ask(const host_record& host) {
    view_request request;
    request.sender = self_;
    request.standby = !services_.role.serving();
    request.nonce = ++nonce_;
    const bool large = services_.upstreams.size() >= large_catalogue;
    const bool whole = ++pulls_ % (large ? large_catalogue_period : whole_catalogue_period) == 0;
    request.catalogue_revision = whole ? 0 : services_.upstreams.revision();
    open_ = question{host.host, services_.timers.now(), request.catalogue_revision};
    services_.channel.send({host.datagram_address}, request);
}

void store_view_sync::handle_request(const view_request& request) {
    view_reply reply;
    reply.sender = self_.host;
    reply.nonce = request.nonce;
    reply.configuration_revision = services_.configuration.revision();
    reply.configuration_age = services_.configuration_mirror.age();
    reply.catalogue_age = services_.upstream_mirror.age();
    reply.catalogue = services_.upstreams.changes_after(request.catalogue_revision);
    if (reply.catalogue.changes.size() > most_told_changes) {
        reply.catalogue.changes.clear();
        reply.catalogue_left_out = true;
    }
    if (request.standby) {
        reply.serving_hosts = services_.hosts.reported_hosts();
        reply.invitation = services_.role.should_invite(request.sender);
    }
    services_.channel.send({request.sender.datagram_address}, reply);
}

void store_view_sync::handle_reply(const view_reply& reply) {
    if (!open_ || reply.nonce != nonce_ || reply.sender != open_->host) {
        return;
    }
    const std::int64_t asked_revision = open_->catalogue_revision;
    const instant asked_at = open_->sent_at;
    open_.reset();
    services_.hosts.merge_reported_hosts(reply.serving_hosts, asked_at);
    if (reply.invitation) {
        services_.role.accept_invitation();
    }
    const instant catalogue_as_of = asked_at - reply.catalogue_age;
    if (reply.catalogue_left_out) {
        fetch_catalogue(reply.sender, asked_revision, catalogue_as_of);
    } else {
        take_catalogue(reply.catalogue, catalogue_as_of);
    }
    const std::int64_t known = services_.configuration.revision();
    if (reply.configuration_revision > known) {
        if (const host_record* host = services_.hosts.find(reply.sender)) {
            fetch_configuration(*host, reply.configuration_revision,
                                asked_at - reply.configuration_age, false);
        }
    } else if (known > 0) {
        services_.configuration_mirror.confirm(asked_at - reply.configuration_age);
    }
    if (std::max(reply.configuration_age, reply.catalogue_age) > old_copy) {
        ++source_;
    }
}

void store_view_sync::take_catalogue(const catalogue_delta& view, instant as_of) {
    services_.upstreams.apply(view);
    if (services_.upstreams.loaded() && services_.upstreams.revision() >= view.revision) {
        services_.upstream_mirror.advance(services_.upstreams.revision());
        services_.upstream_mirror.confirm(as_of);
    }
}

void store_view_sync::fetch_catalogue(const std::string& name, std::int64_t known, instant as_of) {
    const host_record* host = services_.hosts.find(name);
    const instant now = services_.timers.now();
    const bool turn = services_.role.serving() || now >= catalogue_turn_;
    if (host == nullptr || !turn || std::exchange(fetching_catalogue_, true)) {
        return;
    }
    catalogue_turn_ = now + catalogue_pause;
    services_.queries.fetch_catalogue(
        host->query_address, known, [this, name, as_of](const catalogue_delta& view) {
            fetching_catalogue_ = false;
            if (view.revision == 0) {
                services_.log.write(decision_log::level::warning, "catalogue_not_fetched",
                                    {{"peer", name}});
                return;
            }
            take_catalogue(view, as_of);
        });
}

void store_view_sync::fetch_configuration(const host_record& host, std::int64_t revision,
                                          instant as_of, bool any_size) {
    if (std::exchange(fetching_, true)) {
        return;
    }
    services_.queries.fetch_configuration(
        host.query_address, services_.configuration.revision(), any_size,
        [this, host, revision, as_of, any_size](const configuration_answer& answer) {
            fetching_ = false;
            if (answer.revision >= revision && services_.configuration.apply_answer(answer)) {
                services_.configuration_mirror.advance(answer.revision);
                services_.configuration_mirror.confirm(as_of);
            } else if (!any_size && !services_.role.serving()) {
                fetch_in_turn(host, revision, as_of);
            } else {
                services_.log.write(decision_log::level::info, "configuration_read_from_store",
                                    {{"wanted", std::to_string(revision)},
                                     {"answered", std::to_string(answer.revision)}});
                read_configuration();
            }
        });
}

void store_view_sync::fetch_in_turn(const host_record& host, std::int64_t revision, instant as_of) {
    fetching_ = true;
    const duration turn =
        spread_delay(self_.host, configuration_spread, static_cast<std::uint64_t>(revision));
    services_.timers.after(turn, [this, host, revision, as_of] {
        fetching_ = false;
        if (services_.configuration.revision() < revision) {
            fetch_configuration(host, revision, as_of, true);
        }
    });
}

void store_view_sync::read_configuration() {
    fetching_ = true;
    services_.store.read(services_.configuration.key(), [this](const read_result& result) {
        fetching_ = false;
        for (const stored_value& value : result.values) {
            services_.configuration.apply(value);
            services_.configuration_mirror.advance(value.revision);
        }
    });
}

}  // namespace fuchsiaquay
