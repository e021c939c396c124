#pragma once

#include <functional>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

class configuration_feed;
class decision_log;
class engine_work_table;
class engine_memory_client;
class evacuation_feed;
class placement_policy;
class prefix_mirror;
class relay_memory;
class fleet_retry_budget;
class request_format;
class request_metrics;
class timer_service;
class upstream_connector;
class upstream_health;
class upstream_notices;
class upstream_registry;

/// Dependencies for serving requests. All references must outlive the requests.
struct relay_services {
    /// Name of this host, unique in the fleet.
    std::string host;
    timer_service& timers;
    decision_log& log;
    const configuration_feed& configuration;
    /// Mirror of the configuration in the store, which provides the age of the local copy.
    const prefix_mirror& configuration_mirror;
    /// Follows the store with the same mirror as the configuration.
    const evacuation_feed& evacuations;
    const upstream_registry& upstreams;
    engine_work_table& work_table;
    upstream_health& health;
    upstream_notices& notices;
    fleet_retry_budget& budget;
    const placement_policy& placement;
    upstream_connector& connector;
    const request_format& format;
    request_metrics& metrics;
    engine_memory_client& memory_client;
    relay_memory& memory;
    /// Time until this host stops serving; `duration::max()` while it is not stopping.
    std::function<duration()> serving_time_left;
    /// Time since this host was asked to stop; zero while it is not stopping.
    std::function<duration()> stopping_time;
    /// Whether this host knows the work of all other hosts.
    std::function<bool()> knows_all_work;
    /// Data centre whose upstreams plain requests prefer; empty if none is preferred.
    std::string preferred_data_centre{};
};

}  // namespace fuchsiaquay
