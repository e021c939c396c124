#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/placement/placement_decision.hpp"
#include "core/relay/attempt_outcome.hpp"
#include "core/relay/caller_request.hpp"
#include "core/relay/event_splitter.hpp"
#include "core/relay/next_step.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/admission_result.hpp"
#include "servers/relay/attempt_listener.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/relay/request_log.hpp"
#include "servers/relay/request_work.hpp"

namespace fuchsiaquay {

class relay_queue;
class response_sink;
class upstream_attempt;
class upstream_chooser;

/// One request on its way: admission, placement, attempts at upstreams, and the one final answer.
class request_relay final : public active_request, private attempt_listener {
public:
    request_relay(const relay_services& services, const upstream_chooser& chooser,
                  relay_queue& queue, caller_request request, response_sink& sink);
    request_relay(const request_relay&) = delete;
    request_relay& operator=(const request_relay&) = delete;
    ~request_relay() override;

    void start();
    /// Tries to place a request that waits.
    void try_place();
    /// Ends what has taken too long.
    void check_timeouts();

    bool waiting() const noexcept { return waiting_; }
    int rank() const noexcept { return admitted_.rank; }
    instant received_at() const noexcept { return request_.received_at; }

private:
    void on_stream_bytes(std::string_view bytes) override;
    void on_answered() override;
    void on_attempt_failed(attempt_outcome outcome, const std::string& reason) override;

    /// The host knows the configuration, and unless it is just starting, what it can serve.
    bool host_ready() const;
    void place();
    /// Ends a request that no upstream takes.
    void give_up(const placement_decision& decision);
    void dispatch(const placement_decision& decision);
    /// After the time in which hosts that chose at the same moment hear of each other.
    void confirm_claim();
    /// Whether the engines that were chosen are still listed and accept work.
    bool engines_ready() const;
    void begin_attempt();
    void begin_waiting(const placement_decision& decision);
    void end_waiting();
    /// Compares the pause before `events` that came together with the engine's usual pass.
    void observe_pace(std::int64_t events, instant now);
    void finish_stream();
    void finish_answer();
    void end_attempt(attempt_outcome outcome, next_step step, const std::string& reason);
    next_step step_after(attempt_outcome outcome);
    /// Whether another upstream takes the request now.
    bool another_upstream_available() const;
    void apply_next_step(next_step step, const std::string& reason);
    void time_out();
    void check_progress(instant now);
    /// @param detail  what led to it, for the log
    void refuse(const rejection& cause, const std::string& detail = "");
    void answer_failure(int status, const char* reason, const std::string& detail = "");
    void log_request_end(const char* outcome, int status, const std::string& reason,
                         const std::string& detail = "");
    bool repeatable() const;
    /// Timing of the service's model engines; null for plain services.
    const engine_profile* engine() const;

    const relay_services& services_;
    const upstream_chooser& chooser_;
    relay_queue& queue_;
    caller_request request_;
    response_sink& sink_;
    request_log log_;
    admission_result admitted_;
    request_work work_;
    instant deadline_{};
    /// When a request without an upstream stops waiting for one, unless one is expected in time.
    instant wait_until_{};
    /// When it stops waiting although one is expected: the forecast was wrong.
    instant claimed_at_{};
    instant forecast_wait_until_ = instant::max();
    /// Time after which the caller of a request that found no room comes back.
    duration retry_after_{};
    bool waiting_ = false;
    bool done_ = false;

    /// Attempts that an upstream may have run, and all attempts.
    int executed_attempts_ = 0;
    int attempts_ = 0;
    bool may_have_run_ = false;
    std::string excluded_;
    /// Engine that made the last attempt fail, where that is not `upstream_`; else empty.
    std::string at_fault_;
    std::unique_ptr<upstream_attempt> attempt_;
    placement_decision decision_;
    /// Upstream of the last attempt.
    std::string upstream_;
    /// When the upstream was last found silent.
    instant last_stall_at_{};
    /// When events last went to the caller.
    instant last_events_at_{};
    event_splitter events_;
    /// The answer has begun on its way to the caller.
    bool response_started_ = false;
    /// Grows with each dispatch, so that works of two attempts have different keys.
    std::uint64_t work_key_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
