#pragma once

#include <functional>
#include <memory>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

class control_loop;
class control_plane;
class log4cxx_decision_log;
class request_plane;
struct node_settings;

/// One node: every part of it, wired. Lives on the control thread.
class node {
public:
    /// Builds all parts and starts to listen.
    /// @param loop, log  must outlive the node
    /// @throws step_error when an address cannot be bound
    node(const node_settings& settings, control_loop& loop, log4cxx_decision_log& log);
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

    control_loop& loop_;
    log4cxx_decision_log& log_;
    duration keep_for_;
    duration drain_timeout_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<request_plane> requests_;
    std::function<void()> drained_;
    instant drain_until_{};
    instant drain_limit_{};
};

}  // namespace fuchsiaquay
