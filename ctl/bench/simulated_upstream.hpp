#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/scheduling/upstream_queue.hpp"
#include "ctl/bench/event_loop.hpp"
#include "ctl/bench/experiment_settings.hpp"
#include "ctl/emulation/engine_model.hpp"

namespace fuchsiaquay {

/// Simulates an engine and its owner on the event loop.
class simulated_upstream {
public:
    using reply_handler = std::function<void(const addressed_reply&)>;
    using engine_handler = std::function<void(const engine_event&)>;

    simulated_upstream(event_loop& loop, const experiment_settings& settings,
                       const upstream_id& upstream, const host_id& owner, std::uint64_t seed);

    void on_reply(reply_handler handler) { reply_handler_ = std::move(handler); }
    void on_engine_event(engine_handler handler) { engine_handler_ = std::move(handler); }
    /// Starts polling the engine until `end`.
    void start(instant end);

    void reserve(const reserve_request& request);
    void release(const grant_release& release);
    void renew(const grant_renewal& renewal);

    submit_result submit(const stream_request& request);
    void cancel(const std::string& stream_id);
    std::vector<cache_event> cache_events(std::uint64_t after);

    const upstream_id& id() const { return queue_.settings().upstream; }
    std::int64_t memory_tokens() const { return engine_.settings().memory_tokens; }
    /// Memory that the engine or the owner still counts as used.
    std::int64_t used_tokens() const;
    const upstream_queue& queue() const { return queue_; }

private:
    void execute(const scheduling_actions& actions);
    void advance_engine();
    void schedule_engine();
    void schedule_owner();
    void poll();

    event_loop& loop_;
    duration poll_interval_;
    engine_model engine_;
    upstream_queue queue_;
    reply_handler reply_handler_;
    engine_handler engine_handler_;
    instant poll_end_{};
    instant engine_wakeup_ = instant::max();
    instant owner_wakeup_ = instant::max();
};

}  // namespace fuchsiaquay
