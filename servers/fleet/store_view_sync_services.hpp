#pragma once

namespace fuchsiaquay {

class configuration_feed;
class datagram_channel;
class decision_log;
class evacuation_feed;
class host_queries;
class host_registry;
class polled_store;
class prefix_mirror;
class serving_role;
class timer_service;
class upstream_registry;

/// Dependencies of `store_view_sync`. All referenced objects must outlive it.
struct store_view_sync_services {
    timer_service& timers;
    decision_log& log;
    host_registry& hosts;
    serving_role& role;
    datagram_channel& channel;
    host_queries& queries;
    polled_store& store;
    configuration_feed& configuration;
    /// Mirror of the configuration and, if the deployment uses them, the evacuations.
    prefix_mirror& configuration_mirror;
    evacuation_feed& evacuations;
    upstream_registry& upstreams;
    prefix_mirror& upstream_mirror;
};

}  // namespace fuchsiaquay
