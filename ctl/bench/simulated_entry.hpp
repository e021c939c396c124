#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/routing/group_planner.hpp"
#include "core/routing/group_reservation.hpp"
#include "core/routing/output_estimator.hpp"
#include "core/routing/prefix_index.hpp"
#include "core/routing/reservation.hpp"
#include "core/routing/upstream_loads.hpp"
#include "core/routing/upstream_selector.hpp"
#include "ctl/bench/event_loop.hpp"
#include "ctl/bench/experiment_result.hpp"
#include "ctl/bench/experiment_settings.hpp"
#include "ctl/bench/simulated_upstream.hpp"

namespace fuchsiaquay {

/// Simulates an entry host in virtual time. Routing, reservation, dispatch, relaying and settlement
/// use the same core classes as a node.
class simulated_entry {
public:
    simulated_entry(event_loop& loop, const experiment_settings& settings, const host_id& host,
                    const std::vector<std::unique_ptr<simulated_upstream>>& upstreams,
                    experiment_result& result);

    /// Handles the arrival of request `number` of the workload.
    void handle(std::size_t number);
    void on_reply(const reserve_reply& reply);
    void on_engine_event(const engine_event& event);
    /// Reads the cache events of an upstream that this host owns.
    void read_cache_events(simulated_upstream& upstream);
    double output_estimate_error() const { return outputs_.mean_relative_error(); }

private:
    struct dispatched_part {
        std::size_t upstream = 0;
        grant_id grant;
        request_id request;
        std::int64_t prompt_tokens = 0;
        std::int64_t memory_tokens = 0;
        int engine_priority = 0;
        bool generates = true;
        bool submitted = false;
        bool held = false;
    };
    struct active_request {
        std::size_t number = 0;
        reserve_request reserve_terms;
        routing_request routing;
        std::unique_ptr<reservation> single;
        std::unique_ptr<group_reservation> group;
        std::vector<dispatched_part> parts;
        std::int64_t expected_cached = 0;
        /// True when every part is granted.
        bool complete = false;
        int engine_retries = 0;
        std::size_t group_attempts = 0;
    };

    void start_routing(active_request& active);
    void execute(const std::string& id, const routing_actions& actions);
    void retry_group(const std::string& id);
    void schedule_tick(const std::string& id, instant when);
    void add_part(active_request& active, const reserve_reply& grant);
    void dispatch(active_request& active, const routing_outcome& outcome);
    void submit_part(const std::string& id, std::size_t part);
    void submit_ready(active_request& active);
    void schedule_renewal(const std::string& id);
    void on_deadline(const std::string& id);
    void settle(const std::string& id, request_record::result outcome, const std::string& reason);
    std::vector<scored_candidate> choose(const routing_request& request, bool assistant);
    void send_release(const grant_release& release);
    std::size_t upstream_index(const upstream_id& upstream) const;
    request_record& record_of(const active_request& active);

    event_loop& loop_;
    const experiment_settings& settings_;
    host_id host_;
    const std::vector<std::unique_ptr<simulated_upstream>>& upstreams_;
    experiment_result& result_;
    std::unique_ptr<upstream_selector> selector_;
    reservation_settings reservation_settings_;
    upstream_loads loads_;
    prefix_index prefixes_;
    output_estimator outputs_;
    group_planner planner_;
    std::unordered_map<std::string, active_request> active_;
    std::unordered_map<std::string, std::string> streams_;  // stream id -> request id
    std::unordered_map<std::string, std::size_t> indexes_;  // upstream id -> index
    std::unordered_map<std::string, std::uint64_t> read_events_;
};

}  // namespace fuchsiaquay
