#include "main/entry_node.hpp"

#include <utility>
#include <variant>

#include "core/fleet/fleet_configuration.hpp"
#include "core/health/breaker_settings.hpp"
#include "drivers/control/control_loop.hpp"
#include "platform/directory_format.hpp"
#include "platform/store_keys.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// Longest wait for an answer of the store, which usually takes milliseconds.
constexpr duration store_timeout = std::chrono::milliseconds(1'000);
/// Longest wait for an engine to answer an order.
constexpr duration order_timeout = std::chrono::milliseconds(400);
/// Part of the revocation bound that is kept for requests on their way and for clocks.
constexpr duration revocation_margin = std::chrono::milliseconds(300);
/// Status reports of upstreams arrive all the time: polls wait this long to share calls.
constexpr duration catalogue_pause = std::chrono::milliseconds(500);
/// Part of the memory that bodies of requests may take.
constexpr std::size_t body_memory_divisor = 3;
/// Directory answers may be kept three times as long as they say. Source: the platform's pages.
constexpr int kept_answer_factor = 3;
/// Period of dividing the fleet's retries by the hosts that are there.
constexpr duration budget_period = std::chrono::seconds(1);
/// Hosts of the largest fleet.
constexpr std::size_t most_hosts = 10'000;
constexpr duration stop_check_period = std::chrono::milliseconds(100);
/// Time kept of the grace for the last bytes to leave.
constexpr duration stop_margin = std::chrono::milliseconds(600);

prefix_mirror_settings configuration_mirror_settings(const entry_settings& settings) {
    prefix_mirror_settings result;
    result.freshness_limit = settings.revocation_bound - revocation_margin;
    return result;
}

prefix_mirror_settings upstream_mirror_settings() {
    prefix_mirror_settings result;
    result.pause_after_changes = catalogue_pause;
    return result;
}

host_record record_of(const entry_settings& settings) {
    host_record record;
    record.host = settings.host;
    record.data_centre = settings.data_centre;
    record.caller_address = settings.callers;
    record.datagram_address = settings.announcements;
    record.query_address = settings.metrics;
    record.processor_share = settings.processor_share;
    return record;
}

}  // namespace

entry_node::entry_node(const entry_settings& settings, control_loop& loop, decision_log& log)
    : settings_(settings),
      loop_(loop),
      log_(log),
      configuration_store_(loop, log, settings.store, store_timeout),
      catalogue_store_(loop, log, settings.store, store_timeout),
      configuration_(configuration_codec_, log, configuration_key),
      configuration_mirror_(configuration_store_, loop, log, configuration_, configuration_key,
                            configuration_mirror_settings(settings)),
      upstreams_(upstream_codec_, loop, log, upstream_prefix),
      upstream_mirror_(catalogue_store_, loop, log, upstreams_, upstream_prefix,
                       upstream_mirror_settings()),
      board_(settings.host),
      channel_(loop, log, settings.announcements),
      hosts_(
          record_of(settings), configuration_store_, channel_, loop, log, board_, host_prefix,
          [this] { return state(); }, [this] { return configuration_.revision(); }),
      duty_(record_of(settings), settings.serving, settings.directory_lifetime * kept_answer_factor,
            hosts_, loop, log, [this] { return load(); }),
      queries_(loop),
      views_(record_of(settings),
             {loop, log, hosts_, duty_, channel_, queries_, configuration_store_, configuration_,
              configuration_mirror_, upstreams_, upstream_mirror_}),
      health_(breaker_settings()),
      budget_(settings.retries),
      connector_(loop),
      orders_(loop, log, order_timeout),
      relay_services_{settings.host,
                      loop,
                      log,
                      configuration_,
                      configuration_mirror_,
                      upstreams_,
                      board_,
                      health_,
                      notices_,
                      budget_,
                      placement_,
                      connector_,
                      format_,
                      metrics_,
                      orders_,
                      [this] { return serving_time_left(); },
                      [this] { return hosts_.knows_all_work(); }},
      relays_(relay_services_),
      bodies_(settings.memory_bytes / body_memory_divisor),
      callers_(services_for_callers(), settings.callers),
      readiness_(loop, settings.readiness,
                 [this](const std::string& /*target*/) { return answer_readiness(); }),
      directory_(loop, settings.directory,
                 [this](const std::string& target) { return answer_directory(target); }),
      metrics_endpoint_(loop, settings.metrics,
                        [this](const std::string& target) { return answer_query(target); }) {
    loop_.on_error([this](const std::string& reason) {
        ++handler_errors_;
        log_.write(decision_log::level::error, "handler_failed", {{"reason", reason}});
    });
    upstreams_.on_removed([this](const std::string& id) {
        board_.remove_upstream(id);
        health_.forget(upstream_id(id));
        notices_.forget(id);
    });
    configuration_.on_change([this](const fleet_configuration& /*next*/) {
        if (views_.watches_store()) {
            hosts_.announce_now();
        }
    });
    channel_.on_receive([this](const peer_datagram& message) { receive(message); });
    loop_.every(budget_period, [this] { share_budget(); });
    hosts_.start();
    duty_.start();
    views_.start();
    log_.write(decision_log::level::info, "started",
               {{"callers", settings_.callers.text()},
                {"directory", settings_.directory.text()},
                {"store", settings_.store.text()},
                {"data_centre", settings_.data_centre}});
}

caller_services entry_node::services_for_callers() {
    return {loop_,
            format_,
            relays_,
            bodies_,
            [this] {
                const auto& configuration = configuration_.current();
                return configuration ? configuration->limits() : caller_limits();
            },
            [this] { return stopping_; }};
}

host_state entry_node::state() const {
    if (stopping_) {
        return host_state::leaving;
    }
    const bool ready =
        configuration_.current() != nullptr && configuration_mirror_.fresh() && upstreams_.loaded();
    if (ready && duty_.stepping_down()) {
        return host_state::standby;
    }
    return ready ? host_state::ready : host_state::unready;
}

host_load entry_node::load() const {
    return {relays_.accepted(), relays_.active()};
}

void entry_node::share_budget() {
    // Callers are not sent to hosts that stand by: their part is kept for those that serve.
    budget_.set_live_hosts(duty_.serving() ? hosts_.live_peers().size() + 1 : most_hosts);
}

http_endpoint::reply entry_node::answer_readiness() const {
    http_endpoint::reply reply;
    const host_state now = state();
    const bool ready = now == host_state::ready || now == host_state::standby;
    reply.status = ready ? status_ok : status_unavailable;
    reply.body = ready ? R"({"status":"ready"})" : R"({"status":"not ready"})";
    return reply;
}

http_endpoint::reply entry_node::answer_directory(const std::string& target) const {
    http_endpoint::reply reply;
    if (target.substr(0, target.find('?')) != directory_path) {
        reply.status = status_not_found;
        reply.body = R"({"error":"unknown_path"})";
        return reply;
    }
    const std::vector<host_record> hosts = hosts_.hosts_for_callers();
    if (hosts.empty()) {
        // The caller asks another host, or uses the answer that it has.
        reply.status = status_unavailable;
        reply.body = R"({"error":"no_serving_host"})";
        return reply;
    }
    reply.body = write_directory_response(hosts, settings_.directory_lifetime);
    return reply;
}

void entry_node::receive(const peer_datagram& message) {
    if (const auto* heard = std::get_if<announcement>(&message)) {
        hosts_.receive(*heard);
    } else if (const auto* request = std::get_if<view_request>(&message)) {
        views_.handle_request(*request);
    } else if (const auto* reply = std::get_if<view_reply>(&message)) {
        views_.handle_reply(*reply);
    }
}

http_endpoint::reply entry_node::answer_query(const std::string& target) const {
    const std::string path = target.substr(0, target.find('?'));
    if (path == configuration_query_path) {
        return answer_configuration_query(configuration_.answer_for(known_revision(target)),
                                          accepts_any_size(target));
    }
    if (path == catalogue_query_path) {
        return answer_catalogue_query(upstreams_.changes_after(known_revision(target)));
    }
    return answer_metrics();
}

http_endpoint::reply entry_node::answer_metrics() const {
    const histogram_metrics::gauge_values figures = {
        {"requests_active", static_cast<double>(relays_.active())},
        {"requests_waiting", static_cast<double>(relays_.waiting())},
        {"connections_callers", static_cast<double>(callers_.connections())},
        {"upstream_connections_opened", static_cast<double>(connector_.opened_connections())},
        {"body_bytes", static_cast<double>(bodies_.used())},
        {"retries_granted_total", static_cast<double>(budget_.taken())},
        {"retries_denied_total", static_cast<double>(budget_.denied())},
        {"store_calls_total",
         static_cast<double>(configuration_store_.call_count() + catalogue_store_.call_count())},
        {"store_calls_failed_total", static_cast<double>(configuration_store_.failure_count() +
                                                         catalogue_store_.failure_count())},
        {"hosts_live", static_cast<double>(hosts_.live_peers().size() + 1)},
        {"handler_errors_total", static_cast<double>(handler_errors_)},
        {"serving", duty_.serving() ? 1.0 : 0.0},
        {"upstreams", static_cast<double>(upstreams_.size())},
        {"configuration_version",
         configuration_.current() ? static_cast<double>(configuration_.current()->version()) : 0.0},
        {"configuration_age_seconds", to_seconds(configuration_mirror_.age())}};
    http_endpoint::reply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics_.prometheus_text(figures);
    return reply;
}

void entry_node::drain(std::function<void()> done) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stopped_ = std::move(done);
    stop_began_ = loop_.now();
    hosts_.leave();
    log_.write(decision_log::level::info, "drain_started",
               {{"requests", std::to_string(relays_.active())},
                {"connections", std::to_string(callers_.connections())}});
    loop_.every(stop_check_period, [this] { finish_when_idle(); });
}

duration entry_node::serving_time_left() const {
    if (!stopping_) {
        return duration::max();
    }
    return settings_.stop_grace - stop_margin - (loop_.now() - stop_began_);
}

void entry_node::finish_when_idle() {
    const duration since = loop_.now() - stop_began_;
    if (!stopped_ || since < settings_.directory_lifetime) {
        return;
    }
    callers_.close_idle();
    const duration last = settings_.stop_grace - stop_margin;
    const bool callers_know =
        since >= std::min(settings_.directory_lifetime * kept_answer_factor, last);
    if ((!callers_know || callers_.active_requests() > 0) && since < last) {
        return;
    }
    log_.write(decision_log::level::info, "stopped",
               {{"requests_cut", std::to_string(callers_.active_requests())},
                {"after_ms", std::to_string(to_milliseconds(since))}});
    std::exchange(stopped_, nullptr)();
}

}  // namespace fuchsiaquay
