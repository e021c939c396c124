#include "servers/relay/request_relay.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/placement/room_share.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission.hpp"
#include "servers/relay/answer_times.hpp"
#include "servers/relay/evacuation_guard.hpp"
#include "servers/relay/relay_queue.hpp"
#include "servers/relay/request_format.hpp"
#include "servers/relay/request_result.hpp"
#include "servers/relay/response_sink.hpp"
#include "servers/relay/standby_attempt.hpp"
#include "servers/relay/upstream_attempt.hpp"
#include "servers/relay/upstream_chooser.hpp"
#include "servers/request_metrics.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
/// Maximum time that a request waits for a starting host, which usually becomes ready sooner.
constexpr duration max_startup_wait = std::chrono::milliseconds(800);
/// Most requests are served within this time. A host that stops sooner rejects new requests.
constexpr duration usual_service_time = std::chrono::milliseconds(4'500);
/// Time after the begin of a stop within which most callers leave the host. A request that comes
/// later is taken only if it ends before the host does, whatever its upstream does.
constexpr duration callers_leaving_time = std::chrono::seconds(3);
/// Retry delay for callers of a stopping host, which retry at another host.
constexpr duration host_stopping_retry_after = std::chrono::milliseconds(10);
/// Minimum retry delay for callers if no upstream has room.
constexpr duration min_no_room_retry_after = std::chrono::milliseconds(600);
/// Number of steps over which the retries of rejected callers are spread.
constexpr std::int64_t spread_steps = 1'024;
/// Time within which a host's claim reaches the other hosts.
constexpr duration claim_propagation_time = placement_news_time;
/// Age above which a claim is no longer valid.
constexpr duration max_claim_age = std::chrono::milliseconds(200);

}  // namespace

request_relay::request_relay(const relay_services& services, const upstream_chooser& chooser,
                             relay_queue& queue, caller_request request, response_sink& sink)
    : services_(services),
      chooser_(chooser),
      queue_(queue),
      request_(std::move(request)),
      sink_(sink),
      log_(services, request_),
      work_(services.work_table) {
    queue_.add(*this);
}

request_relay::~request_relay() {
    queue_.remove(*this);
    drop_standby("request ended");
    if (!done_) {
        on_connection_lost("", true);
    }
    attempt_.reset();
    work_.advance(work_phase::ended);
}

bool request_relay::passed_on() const {
    return history_.may_have_run() || (attempt_ && attempt_->sent());
}

void request_relay::note_execution() {
    if (passed_on()) {
        history_.note_execution();
    }
}

void request_relay::on_connection_lost(const std::string& cause, bool by_caller) {
    if (done_) {
        return;
    }
    note_execution();
    log_request_end(by_caller ? "caller_left" : "connection_cut", 0,
                    response_started_ ? "during the answer" : "before the answer", cause);
}

bool request_relay::repeatable() const {
    return admitted_.matched_route->repeatable();
}

void request_relay::start() {
    if (!host_ready() && services_.timers.now() - request_.received_at < max_startup_wait) {
        waiting_ = true;
        return;
    }
    waiting_ = false;
    admitted_ =
        admit(request_, services_.configuration.current(), services_.configuration_mirror.state());
    if (!admitted_.refused) {
        admitted_.refused = evacuation_guard(services_).refusal();
    }
    if (admitted_.refused) {
        refuse(*admitted_.refused);
        return;
    }
    const duration limit = std::min(admitted_.matched_route->timeout,
                                    request_.time_limit.value_or(admitted_.matched_route->timeout));
    work_.set_account(admitted_.account, admitted_.rank);
    deadline_ = request_.received_at + limit;
    const bool callers_left = services_.stopping_time() > callers_leaving_time;
    const duration needed_time = callers_left ? limit : std::min(limit, usual_service_time);
    if (services_.serving_time_left() < needed_time) {
        refuse({status_unavailable, "host_stopping", host_stopping_retry_after});
        return;
    }
    if (!request_.last_event_id.empty()) {
        events_ = event_splitter(std::strtoll(request_.last_event_id.c_str(), nullptr, 10));
    }
    wait_until_ = std::min(request_.received_at + admitted_.matched_route->target,
                           deadline_ - min_attempt_time);
    services_.budget.on_request(admitted_.service_name, request_.received_at);
    place();
}

instant request_relay::late_at() const {
    return admitted_.matched_route == nullptr
               ? instant::max()
               : request_.received_at + admitted_.matched_route->target;
}

bool request_relay::host_ready() const {
    if (services_.configuration.current() == nullptr) {
        return false;
    }
    const bool current = services_.configuration_mirror.was_fresh() && services_.upstreams.loaded();
    // After the startup time, waiting for missing data does not help.
    return current || !queue_.starting();
}

void request_relay::try_place() {
    if (!waiting_ || done_) {
        return;
    }
    if (admitted_.matched_route == nullptr) {
        start();
    } else {
        place();
    }
}

void request_relay::place() {
    const instant now = services_.timers.now();
    if (services_.work_table.quarantine().blocks(request_.prompt_parts, now)) {
        end_quarantined();
        return;
    }
    work_key_ = stable_hash(request_.id, static_cast<std::uint64_t>(history_.count()));
    placement_decision decision =
        chooser_.choose(request_, admitted_, work_key_, excluded_upstreams(history_.last_failed()),
                        current_answer_times());
    if (history_.count() == 0) {
        decision = chooser_.limit_to_share(decision, request_, admitted_, work_key_);
    }
    const bool overtakes = decision.outcome == placement_decision::verdict::place &&
                           queue_.rate_waiters_ahead(*this) > 0;
    waits_for_rate_ = overtakes || decision.rate_limited;
    if (waits_for_rate_) {
        wait_for_rate(decision);
        return;
    }
    switch (decision.outcome) {
        case placement_decision::verdict::place:
            end_waiting();
            dispatch(decision);
            return;
        case placement_decision::verdict::refuse:
            give_up(decision);
            return;
        case placement_decision::verdict::wait:
            break;
    }
    const bool waited_enough =
        now >= forecast_wait_until_ || (!decision.answer_expected && now >= wait_until_);
    if (waited_enough || declined_by_all()) {
        give_up(decision);
        return;
    }
    begin_waiting(decision);
}

void request_relay::wait_for_rate(placement_decision decision) {
    const instant now = services_.timers.now();
    const auto ahead = static_cast<double>(queue_.rate_waiters_ahead(*this));
    const std::optional<double> rate = chooser_.total_rate(admitted_.service_name);
    duration expected = decision.retry_after;
    if (rate && *rate > 0.0) {
        expected += from_seconds(ahead / *rate);
    }
    decision.outcome = placement_decision::verdict::wait;
    if (!decision.rate_limited) {
        decision.reason = "rate_limited";
    }
    if (now + expected >= wait_until_) {
        // Spreads the retries of callers that were rejected at the same time.
        decision.retry_after = std::max(expected, min_no_room_retry_after);
        decision.retry_after += decision.retry_after *
                                static_cast<std::int64_t>(work_key_ % spread_steps) / spread_steps;
        give_up(decision);
        return;
    }
    begin_waiting(decision);
}

answer_times request_relay::current_answer_times() const {
    // A stopping host does not start what it cannot finish.
    const instant deadline =
        host_stopping()
            ? std::min(deadline_, services_.timers.now() + services_.serving_time_left())
            : deadline_;
    return {deadline, response_started_ ? last_events_at_ : request_.received_at};
}

bool request_relay::host_stopping() const {
    return services_.serving_time_left() != duration::max();
}

void request_relay::give_up(const placement_decision& decision) {
    log_.not_placed(admitted_, decision, history_.count(), false);
    count_if_held(decision);
    if (host_stopping() && !history_.may_have_run() && !response_started_) {
        // Another host may have the time that this one lacks.
        refuse({status_unavailable, "host_stopping", host_stopping_retry_after}, decision.reason);
        return;
    }
    retry_after_ = std::max(decision.retry_after, min_no_room_retry_after);
    if (decision.evacuated) {
        no_room_reason_ = decision.reason;
    }
    if (response_started_) {
        apply_next_step(next_step::abort, decision.reason);
    } else {
        apply_next_step(history_.may_have_run() ? next_step::report_failure : next_step::refuse,
                        decision.reason);
    }
}

void request_relay::begin_waiting(const placement_decision& decision) {
    if (!waiting_) {
        log_.not_placed(admitted_, decision, history_.count(), true);
        count_if_held(decision);
        if (decision.share_used_up) {
            queue_.add_share_wait();
        }
        if (decision.max_wait != duration::max()) {
            forecast_wait_until_ = services_.timers.now() + decision.max_wait;
        }
    }
    waiting_ = true;
    if (decision.over_share) {
        // Other prompts need not leave engines for one that may not use them yet.
        work_.advance(work_phase::ended);
    } else if (const engine_profile* profile = find_engine_profile()) {
        work_.wait(work_key_, *profile, request_.prompt_tokens.value_or(0),
                   request_.received_at + admitted_.matched_route->target);
    }
}

void request_relay::end_waiting() {
    forecast_wait_until_ = instant::max();
    if (std::exchange(waiting_, false)) {
        work_.advance(work_phase::ended);
    }
}

const engine_profile* request_relay::find_engine_profile() const {
    const bool known = admitted_.service != nullptr && admitted_.service->engine;
    return known ? &*admitted_.service->engine : nullptr;
}

void request_relay::dispatch(const placement_decision& decision) {
    decision_ = decision;
    const engine_profile* profile = find_engine_profile();
    const bool needs_claim =
        profile != nullptr &&
        prefill_time(*profile, request_.prompt_tokens.value_or(0)) > long_prefill_threshold;
    // The engine starts the prefill when the request is sent, not when the engine is claimed.
    const instant sent_at =
        services_.timers.now() + (needs_claim ? claim_propagation_time : duration::zero());
    work_.dispatch(work_key_, decision, request_, profile, *admitted_.matched_route, sent_at);
    if (!needs_claim) {
        begin_attempt();
        return;
    }
    claimed_at_ = services_.timers.now();
    services_.timers.after(claim_propagation_time,
                           [this, key = work_key_, alive = std::weak_ptr<int>(alive_)] {
                               // The attempt at a silent upstream may have resumed meanwhile.
                               if (!alive.expired() && !done_ && key == work_key_ && !attempt_) {
                                   confirm_claim();
                               }
                           });
}

void request_relay::confirm_claim() {
    // If this process was suspended, other hosts may have chosen without seeing the claim.
    const bool current = services_.timers.now() - claimed_at_ <= max_claim_age;
    if (current && engines_ready() && !work_.claim_lost()) {
        begin_attempt();
        return;
    }
    log_.claim_lost(decision_);
    work_.advance(work_phase::ended);
    place();
}

void request_relay::check_timeouts(bool check_silence) {
    if (done_ || admitted_.matched_route == nullptr) {
        return;
    }
    const instant now = services_.timers.now();
    if (now >= deadline_) {
        time_out();
    } else if (services_.serving_time_left() <= duration::zero() && !response_started_) {
        end_with_host();
    } else if (check_silence && attempt_ && attempt_->sent() && repeatable()) {
        check_progress(now);
    }
}

void request_relay::cancel_attempts(const char* reason) {
    note_execution();
    attempt_.reset();
    work_.advance(work_phase::ended);
    drop_standby(reason);
    end_waiting();
}

void request_relay::end_with_host() {
    cancel_attempts("host stopping");
    if (history_.may_have_run()) {
        send_failure(status_bad_gateway, "host_stopping");
    } else {
        refuse({status_unavailable, "host_stopping", host_stopping_retry_after});
    }
}

void request_relay::time_out() {
    cancel_attempts("deadline passed");
    if (response_started_) {
        apply_next_step(next_step::abort, "deadline passed");
    } else if (history_.may_have_run()) {
        send_failure(status_timeout, "deadline_passed");
    } else {
        refuse({status_unavailable, "deadline_passed", {}});
    }
}

void request_relay::refuse(const rejection& cause, const std::string& detail) {
    services_.metrics.refused(cause.reason);
    log_request_end("refused", cause.status, cause.reason, detail);
    const response_head head =
        services_.format.make_error_response(cause.status, cause.retry_after, request_.id);
    sink_.send(head, std::string(R"({"error":")") + cause.reason + "\"}");
}

void request_relay::send_failure(int status, const char* reason, const std::string& detail) {
    services_.metrics.refused(reason);
    log_request_end("failed", status, reason, detail);
    const response_head head = services_.format.make_error_response(status, {}, request_.id);
    sink_.send(head, std::string(R"({"error":")") + reason + "\"}");
}

void request_relay::log_request_end(const char* outcome, int status, const std::string& reason,
                                    const std::string& detail) {
    done_ = true;
    end_waiting();
    const bool answer_begun = attempt_ && attempt_->head().status != 0;
    log_.ended(admitted_, {outcome, status, reason, detail, upstream_, history_.count(),
                           history_.may_have_run(), events_.count(),
                           answer_begun ? attempt_->head().ended_by() : ""});
}

}  // namespace fuchsiaquay
