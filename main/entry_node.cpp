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
/// Time limit of a store call, which usually takes milliseconds.
constexpr duration store_timeout = std::chrono::milliseconds(1'000);
/// Time limit of a call that reserves or releases engine memory.
constexpr duration engine_memory_timeout = std::chrono::milliseconds(400);
/// Part of the revocation bound that is reserved for requests in flight and clock differences.
constexpr duration revocation_margin = std::chrono::milliseconds(300);
/// Upstreams report their status continuously. The pause between polls lets one call return several
/// changes.
constexpr duration catalogue_poll_pause = std::chrono::milliseconds(500);
/// Request bodies may take this fraction (1 / divisor) of the process memory.
constexpr std::size_t body_memory_divisor = 3;
/// Buffered answers may take this fraction (1 / divisor) of the process memory.
constexpr std::size_t answer_memory_divisor = 3;
/// Callers may use a directory response for three times its stated lifetime, according to the
/// platform's documentation.
constexpr int directory_staleness_factor = 3;
/// Period of updating this host's share of the fleet's retry budget.
constexpr duration retry_budget_period = std::chrono::seconds(1);
/// Size of the largest supported fleet.
constexpr std::size_t max_fleet_hosts = 10'000;
constexpr duration stop_check_period = std::chrono::milliseconds(100);
/// Part of the grace period that is reserved for answering requests that could not be finished.
constexpr duration stop_margin = std::chrono::milliseconds(900);
/// Part of the grace period that is reserved for the end of the process.
constexpr duration exit_margin = std::chrono::milliseconds(600);

prefix_mirror_settings configuration_mirror_settings(const entry_settings& settings) {
    prefix_mirror_settings result;
    result.freshness_limit = settings.revocation_bound - revocation_margin;
    result.apply_limit = settings.apply_bound;
    return result;
}

prefix_mirror_settings upstream_mirror_settings() {
    prefix_mirror_settings result;
    result.pause_after_changes = catalogue_poll_pause;
    return result;
}

host_record make_host_record(const entry_settings& settings) {
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
      engine_work_(settings.host),
      datagrams_(loop, log, settings.announcements),
      hosts_(
          make_host_record(settings), configuration_store_, datagrams_, loop, log, engine_work_,
          host_prefix, [this] { return state(); }, [this] { return configuration_.revision(); }),
      serving_role_(make_host_record(settings), settings.serving,
                    settings.directory_lifetime * directory_staleness_factor, hosts_, loop, log,
                    [this] { return load(); }),
      queries_(loop),
      view_sync_(make_host_record(settings),
                 {loop, log, hosts_, serving_role_, datagrams_, queries_, configuration_store_,
                  configuration_, configuration_mirror_, upstreams_, upstream_mirror_}),
      health_(breaker_settings()),
      retry_budget_(settings.retries),
      connector_(loop),
      engine_memory_(loop, log, engine_memory_timeout),
      answer_memory_(settings.memory_bytes / answer_memory_divisor),
      relay_services_{
          settings.host,
          loop,
          log,
          configuration_,
          configuration_mirror_,
          upstreams_,
          engine_work_,
          health_,
          notices_,
          retry_budget_,
          placement_,
          connector_,
          format_,
          metrics_,
          engine_memory_,
          answer_memory_,
          [this] { return serving_time_left(); },
          [this] { return stopping_ ? loop_.now() - stop_requested_at_ : duration::zero(); },
          [this] { return hosts_.knows_all_work(); }},
      relay_queue_(relay_services_),
      body_memory_(settings.memory_bytes / body_memory_divisor),
      callers_(make_caller_services(), settings.callers),
      readiness_(loop, settings.readiness,
                 [this](const std::string& /*target*/) { return handle_readiness(); }),
      directory_(loop, settings.directory,
                 [this](const std::string& target) { return handle_directory(target); }),
      metrics_endpoint_(loop, settings.metrics,
                        [this](const std::string& target) { return handle_query(target); }) {
    loop_.on_error([this](const std::string& reason) {
        ++handler_errors_;
        log_.write(decision_log::level::error, "handler_failed", {{"reason", reason}});
    });
    upstreams_.on_removed([this](const upstream_lifetime& upstream) {
        engine_work_.remove_upstream(upstream.id);
        engine_work_.quarantine().on_engine_gone(upstream, loop_.now());
        health_.forget(upstream_id(upstream.id));
        notices_.forget(upstream.id);
    });
    upstreams_.on_restarted([this](const upstream_lifetime& upstream) {
        engine_work_.on_upstream_restarted(upstream, loop_.now());
        health_.forget(upstream_id(upstream.id));
    });
    configuration_.on_change([this](const fleet_configuration& /*next*/) {
        if (view_sync_.watches_store()) {
            hosts_.announce_now();
        }
    });
    datagrams_.on_receive([this](const peer_datagram& message) { receive(message); });
    loop_.every(retry_budget_period, [this] { update_retry_budget(); });
    hosts_.start();
    serving_role_.start();
    view_sync_.start();
    log_.write(decision_log::level::info, "started",
               {{"callers", settings_.callers.text()},
                {"directory", settings_.directory.text()},
                {"store", settings_.store.text()},
                {"data_centre", settings_.data_centre}});
}

caller_services entry_node::make_caller_services() {
    return {loop_,
            format_,
            relay_queue_,
            body_memory_,
            answer_memory_,
            [this] {
                const auto& configuration = configuration_.current();
                return configuration ? configuration->limits() : caller_limits();
            },
            [this] { return stopping_; },
            log_,
            metrics_};
}

host_state entry_node::state() const {
    if (stopping_) {
        return host_state::leaving;
    }
    const bool ready =
        configuration_.current() != nullptr && configuration_mirror_.fresh() && upstreams_.loaded();
    if (ready && serving_role_.stepping_down()) {
        return host_state::standby;
    }
    return ready ? host_state::ready : host_state::unready;
}

host_load entry_node::load() const {
    return {relay_queue_.accepted(), relay_queue_.active()};
}

void entry_node::update_retry_budget() {
    // Standby hosts receive no callers, so they take only the minimum share of the budget.
    retry_budget_.set_live_hosts(serving_role_.serving() ? hosts_.live_peers().size() + 1
                                                         : max_fleet_hosts);
    // A host that is not heard may be cut off from this one and still send requests.
    const auto listed = static_cast<double>(hosts_.listed_peers().size()) + 1.0;
    engine_work_.set_hosts(hosts_.live_peers().size() + 1);
    const auto heard = static_cast<double>(hosts_.live_peers().size()) + 1.0;
    engine_work_.rate_limits().set_share((hosts_.knows_all_work() ? heard : 1.0) / listed);
}

http_endpoint::reply entry_node::handle_readiness() const {
    http_endpoint::reply reply;
    const host_state now = state();
    const bool ready = now == host_state::ready || now == host_state::standby;
    reply.status = ready ? status_ok : status_unavailable;
    reply.body = ready ? R"({"status":"ready"})" : R"({"status":"not ready"})";
    return reply;
}

http_endpoint::reply entry_node::handle_directory(const std::string& target) const {
    http_endpoint::reply reply;
    if (target.substr(0, target.find('?')) != directory_path) {
        reply.status = status_not_found;
        reply.body = R"({"error":"unknown_path"})";
        return reply;
    }
    const std::vector<host_record> hosts = hosts_.hosts_for_callers();
    if (hosts.empty()) {
        // The caller asks another host or uses its cached response.
        reply.status = status_unavailable;
        reply.body = R"({"error":"no_serving_host"})";
        return reply;
    }
    reply.body = write_directory_response(hosts, settings_.directory_lifetime);
    return reply;
}

void entry_node::receive(const peer_datagram& message) {
    if (const auto* received = std::get_if<announcement>(&message)) {
        hosts_.receive(*received);
    } else if (const auto* request = std::get_if<view_request>(&message)) {
        view_sync_.handle_request(*request);
    } else if (const auto* reply = std::get_if<view_reply>(&message)) {
        view_sync_.handle_reply(*reply);
    }
}

http_endpoint::reply entry_node::handle_query(const std::string& target) const {
    const std::string path = target.substr(0, target.find('?'));
    if (path == configuration_query_path) {
        return answer_configuration_query(configuration_.answer_for(known_revision(target)),
                                          accepts_any_size(target));
    }
    if (path == catalogue_query_path) {
        return answer_catalogue_query(upstreams_.changes_after(known_revision(target)));
    }
    return handle_metrics();
}

http_endpoint::reply entry_node::handle_metrics() const {
    const histogram_metrics::gauge_values gauges = {
        {"requests_active", static_cast<double>(relay_queue_.active())},
        {"requests_waiting", static_cast<double>(relay_queue_.waiting())},
        {"placing_hosts", static_cast<double>(engine_work_.hosts())},
        {"requests_left_to_other_hosts_total", static_cast<double>(relay_queue_.share_waits())},
        {"first_events_forecast_seconds_total", to_seconds(relay_queue_.first_events_forecast())},
        {"first_events_observed_seconds_total", to_seconds(relay_queue_.first_events_observed())},
        {"connections_callers", static_cast<double>(callers_.connections())},
        {"upstream_connections_opened", static_cast<double>(connector_.opened_connections())},
        {"body_bytes", static_cast<double>(body_memory_.used())},
        {"answer_bytes", static_cast<double>(answer_memory_.used())},
        {"retries_granted_total", static_cast<double>(retry_budget_.granted())},
        {"retries_denied_total", static_cast<double>(retry_budget_.denied())},
        {"store_calls_total",
         static_cast<double>(configuration_store_.call_count() + catalogue_store_.call_count())},
        {"store_calls_failed_total", static_cast<double>(configuration_store_.failure_count() +
                                                         catalogue_store_.failure_count())},
        {"upstreams_limited", static_cast<double>(engine_work_.rate_limits().size())},
        {"prompt_parts_quarantined", static_cast<double>(engine_work_.quarantine().size())},
        {"engine_ends_proved", static_cast<double>(engine_work_.quarantine().proved_ends())},
        {"engine_ends_unproved", static_cast<double>(engine_work_.quarantine().unproved_ends())},
        {"hosts_live", static_cast<double>(hosts_.live_peers().size() + 1)},
        {"handler_errors_total", static_cast<double>(handler_errors_)},
        {"log_lines_dropped_total", static_cast<double>(log_.lines_dropped())},
        {"serving", serving_role_.serving() ? 1.0 : 0.0},
        {"upstreams", static_cast<double>(upstreams_.size())},
        {"configuration_version",
         configuration_.current() ? static_cast<double>(configuration_.current()->version()) : 0.0},
        {"configuration_age_seconds", to_seconds(configuration_mirror_.age())}};
    http_endpoint::reply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics_.prometheus_text(gauges);
    return reply;
}

void entry_node::drain(std::function<void()> done) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    on_stopped_ = std::move(done);
    stop_requested_at_ = loop_.now();
    hosts_.leave();
    log_.write(decision_log::level::info, "drain_started",
               {{"requests", std::to_string(relay_queue_.active())},
                {"connections", std::to_string(callers_.connections())}});
    loop_.every(stop_check_period, [this] { finish_when_idle(); });
}

duration entry_node::serving_time_left() const {
    if (!stopping_) {
        return duration::max();
    }
    return settings_.stop_grace - stop_margin - (loop_.now() - stop_requested_at_);
}

void entry_node::finish_when_idle() {
    const duration elapsed = loop_.now() - stop_requested_at_;
    if (!on_stopped_ || elapsed < settings_.directory_lifetime) {
        return;
    }
    callers_.close_idle();
    const duration max_elapsed = settings_.stop_grace - exit_margin;
    const bool caller_caches_expired =
        elapsed >= std::min(settings_.directory_lifetime * directory_staleness_factor,
                            settings_.stop_grace - stop_margin);
    if ((!caller_caches_expired || callers_.active_requests() > 0) && elapsed < max_elapsed) {
        return;
    }
    log_.write(decision_log::level::info, "stopped",
               {{"requests_cut", std::to_string(callers_.active_requests())},
                {"after_ms", std::to_string(to_milliseconds(elapsed))}});
    std::exchange(on_stopped_, nullptr)();
}

}  // namespace fuchsiaquay
