#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "core/placement/placement_decision.hpp"
#include "core/relay/attempt_history.hpp"
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
struct answer_times;
struct standby_attempt;

/// Handles one request: admission, placement, attempts at upstreams and exactly one final response.
class request_relay final : public active_request, private attempt_listener {
public:
    request_relay(const relay_services& services, const upstream_chooser& chooser,
                  relay_queue& queue, caller_request request, response_sink& sink);
    request_relay(const request_relay&) = delete;
    request_relay& operator=(const request_relay&) = delete;
    ~request_relay() override;

    void start();
    /// Tries to place the request if it is waiting.
    void try_place();
    /// Ends the request at its deadline.
    /// @param check_silence  whether to look for another upstream if that of a running attempt is
    ///                       silent
    void check_timeouts(bool check_silence);

    /// Ends the request if it must not reach an engine any more and none has begun to answer it.
    void check_quarantine();

    bool passed_on() const override;
    void on_connection_lost(const std::string& cause, bool by_caller) override;

    bool waiting() const noexcept { return waiting_; }
    /// Whether the request waits because the limits of the upstreams leave no room.
    bool waits_for_rate() const noexcept { return waiting_ && waits_for_rate_; }
    const std::string& service() const noexcept { return admitted_.service_name; }
    int rank() const noexcept { return admitted_.rank; }
    const admission_result& admitted() const noexcept { return admitted_; }
    instant received_at() const noexcept { return request_.received_at; }
    /// Time from which the first event is late; `instant::max()` before admission.
    instant late_at() const;

private:
    void on_stream_bytes(upstream_attempt& from, std::string_view bytes) override;
    void on_response_complete(upstream_attempt& from) override;
    void on_attempt_failed(upstream_attempt& from, attempt_outcome outcome,
                           const std::string& reason) override;

    /// Whether the host has a configuration and either has confirmed that it is current and loaded
    /// the upstreams, or is past its startup time.
    bool host_ready() const;
    void place();
    void end_quarantined();
    /// Decides whether the request waits until the limits of the upstreams leave room for it, or is
    /// given up at once because those ahead of it take the room until too late.
    void wait_for_rate(placement_decision decision);
    /// Counts a request that does not reach an upstream now because of its account's share.
    void count_if_held(const placement_decision& decision);
    /// Ends a request that no upstream can take.
    void give_up(const placement_decision& decision);
    void dispatch(const placement_decision& decision);
    /// Called once hosts that chose at the same time have received each other's claims. Starts the
    /// attempt if the claim still holds; otherwise places the request again.
    void confirm_claim();
    /// Whether all chosen engines are still registered and ready.
    bool engines_ready() const;
    void begin_attempt();
    void begin_waiting(const placement_decision& decision);
    void end_waiting();
    /// Updates the engine's slowdown: compares the time since the previous events with the expected
    /// duration of a pass.
    /// @param events  number of events that arrived together
    void observe_slowdown(std::int64_t events, instant now);
    void finish_stream();
    void finish_response();
    void end_attempt(attempt_outcome outcome, next_step step, const std::string& reason);
    next_step step_after(attempt_outcome outcome);
    /// Whether another upstream could take the request now.
    bool another_upstream_available() const;
    bool declined_by_all() const;
    /// Upstreams that must not be chosen for another attempt: those that declined, the one that is
    /// silent, and `failed`.
    std::set<std::string> excluded_upstreams(const std::string& failed) const;
    /// Records that the request may have run if an attempt has sent it.
    void note_execution();
    void apply_next_step(next_step step, const std::string& reason);
    void time_out();
    /// Cancels all attempts and stops waiting.
    void cancel_attempts(const char* reason);
    void check_progress(instant now);
    /// Tries another upstream while the silent one may still answer. Does nothing unless another
    /// upstream takes the request now.
    void try_beside_silent_upstream();
    bool is_standby(const upstream_attempt& attempt) const;
    /// Continues with the upstream that was silent.
    void resume_standby();
    /// Cancels the attempt at the upstream that was silent, if there is one.
    void drop_standby(const std::string& reason);
    answer_times current_answer_times() const;
    /// Whether this host has been asked to stop.
    bool host_stopping() const;
    /// Answers a request that has no response yet, because the host is about to end.
    void end_with_host();
    /// @param detail  cause, for the log
    void refuse(const rejection& cause, const std::string& detail = "");
    void send_failure(int status, const char* reason, const std::string& detail = "");
    void log_request_end(const char* outcome, int status, const std::string& reason,
                         const std::string& detail = "");
    bool repeatable() const;
    /// Profile of the service's model engines; null for plain services.
    const engine_profile* find_engine_profile() const;

    /// Minimum time before the deadline to start another attempt.
    static constexpr duration min_attempt_time = std::chrono::milliseconds(30);

    const relay_services& services_;
    const upstream_chooser& chooser_;
    relay_queue& queue_;
    caller_request request_;
    response_sink& sink_;
    request_log log_;
    admission_result admitted_;
    request_work work_;
    instant deadline_{};
    /// When the request stops waiting for an upstream, unless one is expected in time.
    instant wait_until_{};
    /// When the request last claimed engines.
    instant claimed_at_{};
    /// When the request stops waiting although an upstream is expected: the forecast was wrong.
    instant forecast_wait_until_ = instant::max();
    /// Retry delay for the caller if no upstream has room.
    duration retry_after_{};
    /// Why no upstream has room, as told to the caller.
    const char* no_room_reason_ = "no_room";
    bool waiting_ = false;
    bool waits_for_rate_ = false;
    bool done_ = false;

    attempt_history history_;
    std::unique_ptr<upstream_attempt> attempt_;
    /// Attempt at an upstream that fell silent, while another upstream is tried.
    std::unique_ptr<standby_attempt> standby_;
    placement_decision decision_;
    /// Upstream of the last attempt.
    std::string upstream_;
    /// When an upstream was last found to make no progress.
    instant last_stall_at_{};
    /// When events were last sent to the caller.
    instant last_events_at_{};
    event_splitter events_;
    /// Whether part of the response was sent to the caller.
    bool response_started_ = false;
    /// Key of this request's work in the work table. Depends on the number of attempts, so that
    /// the work of two attempts has different keys.
    std::uint64_t work_key_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
