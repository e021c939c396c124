#include "main/entry_node.hpp"

#include <sys/resource.h>

#include <algorithm>
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
/// The same part of the bound of evacuations.
constexpr duration evacuation_margin = std::chrono::milliseconds(300);
/// Upstreams report their status continuously. The pause between polls lets one call return several
/// changes.
constexpr duration catalogue_poll_pause = std::chrono::milliseconds(500);
/// Requests and answers of callers may take this fraction (1 / divisor) of the process memory.
constexpr std::size_t relay_memory_divisor = 2;
/// Callers may use a directory response for three times its stated lifetime, according to the
/// platform's documentation.
constexpr int directory_staleness_factor = 3;
/// Period of updating this host's share of the fleet's retry budget.
constexpr duration retry_budget_period = std::chrono::seconds(1);
/// Connections may take this fraction (1 / divisor) of the process memory, apart from the requests
/// and answers on them.
constexpr std::size_t connections_memory_divisor = 4;
/// Memory of a connection: its buffers for input and output.
constexpr std::size_t connection_bytes = 32'768;
/// Descriptors for which neither the settings nor the operating system name a smaller number.
constexpr std::size_t default_descriptors = 16'384;
/// Size of the largest supported fleet.
constexpr std::size_t max_fleet_hosts = 10'000;
constexpr duration stop_check_period = std::chrono::milliseconds(100);
/// Part of the grace period that is reserved for answering requests that could not be finished.
constexpr duration stop_margin = std::chrono::milliseconds(900);
/// Part of the grace period that is reserved for the end of the process.
constexpr duration exit_margin = std::chrono::milliseconds(600);

/// Callers may take three quarters of the descriptors; upstreams, the store and other hosts share
/// the rest.
std::size_t max_connections(const entry_settings& settings) {
    if (settings.max_connections > 0) {
        return settings.max_connections;
    }
    std::size_t descriptors =
        settings.max_descriptors > 0 ? settings.max_descriptors : default_descriptors;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
    }
    return std::max<std::size_t>(
        std::min(descriptors / 4 * 3,
                 settings.memory_bytes / connections_memory_divisor / connection_bytes),
        1);
}

prefix_mirror_settings configuration_mirror_settings(const entry_settings& settings) {
    prefix_mirror_settings result;
    result.freshness_limit = settings.revocation_bound - revocation_margin;
    result.apply_limit = settings.apply_bound;
    if (settings.evacuation_bound) {
        result.freshness_limit =
            std::min(result.freshness_limit, *settings.evacuation_bound - evacuation_margin);
    }
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
      max_connections_(max_connections(settings)),
      configuration_store_(loop, log, settings.store, store_timeout),
      catalogue_store_(loop, log, settings.store, store_timeout),
      configuration_(configuration_codec_, log, configuration_key),
      evacuations_(log, evacuation_prefix, settings.evacuation_bound.has_value()),
      operator_values_({&configuration_, &evacuations_}),
      configuration_mirror_(configuration_store_, loop, log, operator_values_,
                            settings.evacuation_bound ? operator_prefix : configuration_key,
                            configuration_mirror_settings(settings)),
      upstreams_(upstream_codec_, loop, log, upstream_prefix),
      upstream_mirror_(catalogue_store_, loop, log, upstreams_, upstream_prefix,
                       upstream_mirror_settings()),
      engine_work_(settings.host),
      datagrams_(loop, log, settings.announcements),
      hosts_(
          make_host_record(settings), configuration_store_, datagrams_, loop, log, engine_work_,
          host_prefix, [this] { return state(); },
          [this] {
              return std::max(configuration_.revision(), evacuations_.current().revision());
          }),
      serving_role_(make_host_record(settings), settings.serving,
                    settings.directory_lifetime * directory_staleness_factor, hosts_, loop, log,
                    [this] { return load(); }),
      queries_(loop),
      view_sync_(
          make_host_record(settings),
          {loop, log, hosts_, serving_role_, datagrams_, queries_, configuration_store_,
           configuration_, configuration_mirror_, evacuations_, upstreams_, upstream_mirror_}),
      health_(breaker_settings()),
      retry_budget_(settings.retries),
      own_data_centre_first_(placement_, settings.data_centre),
      dialer_(loop, log),
      connector_(loop, dialer_),
      engine_memory_(loop, log, dialer_, engine_memory_timeout),
      relay_memory_(settings.memory_bytes / relay_memory_divisor),
      relay_services_{
          settings.host,
          loop,
          log,
          configuration_,
          configuration_mirror_,
          evacuations_,
          upstreams_,
          engine_work_,
          health_,
          notices_,
          retry_budget_,
          placement_policy_for(settings),
          connector_,
          format_,
          metrics_,
          engine_memory_,
          relay_memory_,
          [this] { return serving_time_left(); },
          [this] { return stopping_ ? loop_.now() - stop_requested_at_ : duration::zero(); },
          [this] { return hosts_.knows_all_work(); },
          settings.prefer_own_data_centre ? settings.data_centre : ""},
      relay_queue_(relay_services_),
      tunnels_(loop, dialer_, settings.announcements,
               [this](const std::string& from, const network_address& upstream) {
                   return tunnel_permission(from, upstream);
               }),
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
    connect_cold_upstreams();
    connect_upstream_paths();
    configuration_.on_change([this](const fleet_configuration& /*next*/) {
        upstreams_.report_cold();
        if (view_sync_.watches_store()) {
            hosts_.announce_now();
        }
    });
    evacuations_.on_change([this] {
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

const placement_policy& entry_node::placement_policy_for(const entry_settings& settings) const {
    if (settings.prefer_own_data_centre) {
        return own_data_centre_first_;
    }
    return placement_;
}

caller_services entry_node::make_caller_services() {
    return {loop_,
            format_,
            relay_queue_,
            relay_memory_,
            [this] { return current_caller_limits(); },
            [this] { return stopping_; },
            log_,
            metrics_};
}

caller_limits entry_node::current_caller_limits() const {
    const auto& configuration = configuration_.current();
    caller_limits limits = configuration ? configuration->limits() : caller_limits();
    limits.body_timeout = settings_.body_timeout;
    limits.connections = max_connections_;
    return limits;
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
    update_cold_budget();
}

void entry_node::connect_cold_upstreams() {
    engine_work_.cold_budget().set_bounds(settings_.cold_upstreams);
    upstreams_.set_cold_times([this](const std::string& service) { return cold_time_of(service); });
    // The upstreams there were without work, and may be cold before their entries say so.
    evacuations_.on_ended([this](const std::string& data_centre) {
        upstreams_.on_data_centre_returned(data_centre);
    });
    upstreams_.on_cold([this](const upstream_lifetime& upstream, instant until) {
        engine_work_.cold_budget().on_cold(upstream, until, loop_.now());
    });
}

std::optional<duration> entry_node::cold_time_of(const std::string& service) const {
    const auto& configuration = configuration_.current();
    const service_profile* profile =
        configuration == nullptr ? nullptr : configuration->find_service(service);
    if (profile == nullptr || profile->cold_requests_per_s <= 0.0) {
        return std::nullopt;
    }
    return profile->cold_time;
}

void entry_node::update_cold_budget() {
    std::vector<std::string> hosts = {settings_.host};
    for (const host_record& peer : hosts_.listed_peers()) {
        hosts.push_back(peer.host);
    }
    engine_work_.cold_budget().set_hosts(settings_.host, std::move(hosts));
    // In a copy of the catalogue that is older than a cold time, an upstream may have become cold
    // unnoticed.
    duration shortest = duration::max();
    if (const auto& configuration = configuration_.current()) {
        for (const auto& [name, profile] : configuration->services()) {
            shortest = std::min(shortest, cold_time_of(name).value_or(shortest));
        }
    }
    const bool hears_all =
        hosts_.knows_all_work() && hosts_.live_peers().size() == hosts_.listed_peers().size();
    engine_work_.cold_budget().set_knowledge(upstream_mirror_.age() <= shortest, hears_all);
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
    const bool needed = callers_.active_requests() > 0 || tunnels_.open_tunnels() > 0;
    if ((!caller_caches_expired || needed) && elapsed < max_elapsed) {
        return;
    }
    log_.write(decision_log::level::info, "stopped",
               {{"requests_cut", std::to_string(callers_.active_requests())},
                {"after_ms", std::to_string(to_milliseconds(elapsed))}});
    std::exchange(on_stopped_, nullptr)();
}

}  // namespace fuchsiaquay
