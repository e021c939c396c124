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

/// One node: every part of it, wired. Lives on the control thread.
class node {
public:
    /// Builds all parts and starts to listen.
    /// @param loop, log  must outlive the node
    /// @throws operation_error when an address cannot be bound
    /// @param stop  asks the process for a graceful shutdown, which calls `drain`
    node(const node_settings& settings, control_loop& loop, log4cxx_decision_log& log,
         std::function<void()> stop);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Leaves the fleet gracefully: vanishes from the directory, serves until every answer that
    /// named this host has lapsed and every request has ended, then calls `done`.
    void drain(std::function<void()> done);

private:
    void route_messages();
    void add_health_routes();
    void finish_when_idle();
    /// Contracts known, listed in the membership, upstreams known, not stopping.
    bool ready() const;

    control_loop& loop_;
    log4cxx_decision_log& log_;
    /// Time until the last answer that named this host has lapsed.
    duration drain_time_;
    duration drain_timeout_;
    std::function<void()> stop_;
    instant started_at_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<request_plane> requests_;
    std::unique_ptr<node_administration> administration_;
    std::function<void()> drained_;
    instant drain_until_{};
    instant drain_limit_{};
};

}  // namespace fuchsiaquay
