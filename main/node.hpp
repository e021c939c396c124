#pragma once

#include <functional>
#include <memory>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

class control_loop;
class control_plane;
class log4cxx_decision_log;
class node_administration;
class request_plane;
struct node_settings;

/// Creates and connects all components of a node. Used on the control thread only.
class node {
public:
    /// Creates all components and starts to listen.
    /// @param loop, log  must outlive the node
    /// @param stop  requests a graceful shutdown of the process, which calls `drain`
    /// @throws operation_error  an address cannot be bound
    node(const node_settings& settings, control_loop& loop, log4cxx_decision_log& log,
         std::function<void()> stop);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Leaves the fleet gracefully: removes this host from the directory, serves until all
    /// directory responses that list it have expired and all requests have ended, then calls
    /// `done`.
    void drain(std::function<void()> done);

private:
    void route_messages();
    void add_health_routes();
    void finish_when_idle();
    /// True when contracts and upstreams are known, this host is in the membership and no shutdown
    /// has begun.
    bool ready() const;

    control_loop& loop_;
    log4cxx_decision_log& log_;
    /// Time until the last directory response that lists this host has expired.
    duration min_drain_time_;
    duration drain_timeout_;
    std::function<void()> request_stop_;
    instant started_at_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<request_plane> requests_;
    std::unique_ptr<node_administration> administration_;
    std::function<void()> on_drained_;
    instant min_drain_end_{};
    instant max_drain_end_{};
};

}  // namespace fuchsiaquay
