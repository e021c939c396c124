/// @file
/// The part of `entry_node` that answers queries of other hosts and reports metrics.

#include <algorithm>
#include <string>

#include "core/fleet/fleet_configuration.hpp"
#include "drivers/control/control_loop.hpp"
#include "main/entry_node.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

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
        {"upstream_path_blocked", dialer_.blocked() ? 1.0 : 0.0},
        {"upstream_connections_tunnelled_total", static_cast<double>(dialer_.tunnelled())},
        {"tunnels_open", static_cast<double>(tunnels_.open_tunnels())},
        {"tunnels_opened_total", static_cast<double>(tunnels_.opened())},
        {"upstream_connections_opened", static_cast<double>(connector_.opened_connections())},
        {"connections_refused_total", static_cast<double>(callers_.refused_connections())},
        {"relay_memory_bytes", static_cast<double>(relay_memory_.used())},
        {"relay_memory_limit_bytes", static_cast<double>(relay_memory_.limit())},
        {"relay_memory_cuts_total", static_cast<double>(relay_memory_.cuts())},
        {"retries_granted_total", static_cast<double>(retry_budget_.granted())},
        {"retries_denied_total", static_cast<double>(retry_budget_.denied())},
        {"store_calls_total",
         static_cast<double>(configuration_store_.call_count() + catalogue_store_.call_count())},
        {"store_calls_failed_total", static_cast<double>(configuration_store_.failure_count() +
                                                         catalogue_store_.failure_count())},
        {"store_era",
         static_cast<double>(std::max(configuration_store_.era(), catalogue_store_.era()))},
        {"upstreams_limited", static_cast<double>(engine_work_.rate_limits().size())},
        {"upstreams_cold", static_cast<double>(engine_work_.cold_budget().size(loop_.now()))},
        {"engine_accounts", static_cast<double>(engine_work_.shares().accounts())},
        {"requests_held_by_share_total", static_cast<double>(relay_queue_.held_by_share())},
        {"prompt_parts_quarantined", static_cast<double>(engine_work_.quarantine().size())},
        {"engine_ends_proved", static_cast<double>(engine_work_.quarantine().proved_ends())},
        {"engine_ends_unproved", static_cast<double>(engine_work_.quarantine().unproved_ends())},
        {"hosts_live", static_cast<double>(hosts_.live_peers().size() + 1)},
        {"handler_errors_total", static_cast<double>(handler_errors_)},
        {"log_lines_dropped_total", static_cast<double>(log_.lines_dropped())},
        {"serving", serving_role_.serving() ? 1.0 : 0.0},
        {"upstreams", static_cast<double>(upstreams_.size())},
        {"data_centres_evacuated",
         static_cast<double>(evacuations_.current().data_centres().size())},
        {"configuration_version",
         configuration_.current() ? static_cast<double>(configuration_.current()->version()) : 0.0},
        {"configuration_age_seconds", to_seconds(configuration_mirror_.age())}};
    http_endpoint::reply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics_.prometheus_text(gauges);
    return reply;
}

}  // namespace fuchsiaquay
