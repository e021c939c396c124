#include "servers/relay/request_relay.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/health/attempt_evidence.hpp"
#include "core/health/upstream_health.hpp"
#include "core/identity/names.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/relay/stall_timeout.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission.hpp"
#include "servers/relay/answer_times.hpp"
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
/// Attempts beyond the route's limit, to replace those that upstreams declined to execute.
constexpr int max_declined_attempts = 2;
/// Minimum time before the deadline to start another attempt.
constexpr duration min_attempt_time = std::chrono::milliseconds(30);
/// Period of looking for another upstream while one is silent.
constexpr duration stall_recheck_period = std::chrono::milliseconds(100);
/// Maximum time that a request waits for a starting host, which usually becomes ready sooner.
constexpr duration max_startup_wait = std::chrono::milliseconds(800);
/// Time to wait for another upstream after a failed attempt, even beyond the route's target.
constexpr duration retry_wait = std::chrono::milliseconds(1'000);
/// Most requests are served within this time. A host that stops sooner rejects new requests.
constexpr duration usual_service_time = std::chrono::milliseconds(4'500);
/// Retry delay for callers of a stopping host, which retry at another host.
constexpr duration host_stopping_retry_after = std::chrono::milliseconds(10);
/// Minimum retry delay for callers if no upstream has room.
constexpr duration min_no_room_retry_after = std::chrono::milliseconds(600);
/// Time within which a host's claim reaches the other hosts.
constexpr duration claim_propagation_time = std::chrono::milliseconds(20);
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
    return may_have_run_ || (attempt_ && attempt_->sent());
}

void request_relay::on_connection_lost(const std::string& cause, bool by_caller) {
    if (done_) {
        return;
    }
    may_have_run_ = passed_on();
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
        admit(request_, services_.configuration.current(), services_.configuration_mirror.fresh());
    if (admitted_.refused) {
        refuse(*admitted_.refused);
        return;
    }
    const duration limit = std::min(admitted_.matched_route->timeout,
                                    request_.time_limit.value_or(admitted_.matched_route->timeout));
    deadline_ = request_.received_at + limit;
    if (services_.serving_time_left() < std::min(limit, usual_service_time)) {
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
    work_key_ = stable_hash(request_.id, static_cast<std::uint64_t>(attempts_));
    const placement_decision decision =
        chooser_.choose(request_, admitted_, work_key_, excluded_upstreams(failed_upstream_),
                        current_answer_times());
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
    log_.not_placed(admitted_, decision, attempts_, false);
    if (host_stopping() && !may_have_run_ && !response_started_) {
        // Another host may have the time that this one lacks.
        refuse({status_unavailable, "host_stopping", host_stopping_retry_after}, decision.reason);
        return;
    }
    retry_after_ = std::max(decision.retry_after, min_no_room_retry_after);
    if (response_started_) {
        apply_next_step(next_step::abort, decision.reason);
    } else {
        apply_next_step(may_have_run_ ? next_step::report_failure : next_step::refuse,
                        decision.reason);
    }
}

void request_relay::begin_waiting(const placement_decision& decision) {
    if (!waiting_) {
        log_.not_placed(admitted_, decision, attempts_, true);
        if (decision.max_wait != duration::max()) {
            forecast_wait_until_ = services_.timers.now() + decision.max_wait;
        }
    }
    waiting_ = true;
    if (const engine_profile* profile = find_engine_profile()) {
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

bool request_relay::engines_ready() const {
    const auto listed = [this](const std::string& id) {
        const upstream_entry* entry = services_.upstreams.find(id);
        return entry != nullptr && entry->state == upstream_state::ready;
    };
    return listed(decision_.engine) &&
           std::all_of(decision_.helpers.begin(), decision_.helpers.end(),
                       [&listed](const placement_part& part) { return listed(part.engine); });
}

void request_relay::begin_attempt() {
    ++attempts_;
    if (attempts_ == 1) {
        services_.metrics.placed(admitted_.rank, services_.timers.now() - request_.received_at);
    }
    upstream_ = decision_.engine;
    attempt_parameters parameters;
    parameters.decision = decision_;
    parameters.work_key = work_key_;
    parameters.deadline = deadline_;
    parameters.number = attempts_;
    parameters.last_event_id =
        response_started_ ? std::to_string(events_.last_id()) : request_.last_event_id;
    parameters.resumes = response_started_;
    parameters.sent_before = sent_to_.count(upstream_) > 0;
    attempt_listener& self = *this;
    attempt_ = std::make_unique<upstream_attempt>(services_, request_, admitted_, log_,
                                                  std::move(parameters), self);
    attempt_->start();
}

void request_relay::on_stream_bytes(upstream_attempt& from, std::string_view bytes) {
    event_splitter& splitter = is_standby(from) ? standby_->events : events_;
    const std::int64_t passed_before = splitter.count();
    const std::string events = splitter.append(bytes);
    if (splitter.out_of_order()) {
        on_attempt_failed(from, attempt_outcome::unknown, "events out of order");
        return;
    }
    if (splitter.too_long()) {
        on_attempt_failed(from, attempt_outcome::unknown, "event too long");
        return;
    }
    if (events.empty()) {
        return;
    }
    if (is_standby(from)) {
        resume_standby();
    } else {
        drop_standby("upstream silent");
    }
    const instant now = services_.timers.now();
    attempt_->record_progress();
    if (!response_started_) {
        response_started_ = true;
        services_.metrics.first_token(admitted_.rank, request_.prompt_tokens.value_or(0),
                                      now - request_.received_at);
        sink_.begin(attempt_->head(), events);
    } else {
        services_.metrics.token_gap(now - last_events_at_, 1);
        observe_slowdown(events_.count() - passed_before, now);
        sink_.write(events);
    }
    last_events_at_ = now;
    if (work_.awaiting_first_event()) {
        log_.first_event(upstream_, now - attempt_->sent_at(), decision_.time_to_first_event);
        work_.advance(work_phase::decode);
    }
}

void request_relay::observe_slowdown(std::int64_t events, instant now) {
    const engine_profile* profile = find_engine_profile();
    const engine_load& load = services_.work_table.load(upstream_);
    // Passes also take longer while the engine runs a prefill, or when other engines hold parts of
    // the prompt. Such passes do not show whether the engine is slow.
    const bool decodes_only = load.pending_prefill(now) == duration::zero();
    if (profile == nullptr || events <= 0 || !decodes_only || !decision_.helpers.empty()) {
        return;
    }
    const duration pass =
        decode_pass_time(*profile, load.decoding_requests(), load.decoding_context_tokens());
    const double ratio =
        to_seconds(now - last_events_at_) / static_cast<double>(events) / to_seconds(pass);
    if (services_.work_table.slowdowns().observe(upstream_, ratio, now)) {
        log_.slowdown_changed(upstream_,
                              services_.work_table.slowdowns().slowdown_of(upstream_, now));
    }
}

void request_relay::on_response_complete(upstream_attempt& from) {
    if (is_standby(from)) {
        resume_standby();
    }
    if (attempt_->streaming()) {
        finish_stream();
    } else {
        finish_response();
    }
}

void request_relay::finish_stream() {
    if (events_.has_partial()) {
        on_attempt_failed(*attempt_, attempt_outcome::unknown, "stream ended inside an event");
        return;
    }
    work_.advance(work_phase::ended);
    drop_standby("upstream silent");
    if (!response_started_) {
        sink_.begin(attempt_->head(), "");
    }
    services_.metrics.answered();
    log_request_end("answered", attempt_->head().status, "");
    sink_.finish();
}

void request_relay::finish_response() {
    work_.advance(work_phase::ended);
    drop_standby("upstream silent");
    services_.metrics.answered();
    log_request_end("answered", attempt_->head().status, "");
    sink_.send(attempt_->head(), attempt_->take_body());
}

next_step request_relay::step_after(attempt_outcome outcome) {
    const instant now = services_.timers.now();
    const bool not_executed =
        outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined;
    const int executed = executed_attempts_ + (not_executed ? 0 : 1);
    retry_conditions conditions;
    conditions.outcome = outcome;
    conditions.repeatable = repeatable();
    conditions.may_have_run = may_have_run_;
    conditions.attempts_left =
        executed < admitted_.matched_route->max_attempts &&
        attempts_ < admitted_.matched_route->max_attempts + max_declined_attempts;
    if (outcome == attempt_outcome::failed && !another_upstream_available()) {
        // Forwarding the upstream's own response is better than waiting for another upstream.
        conditions.attempts_left = false;
    }
    conditions.time_left = deadline_ - now > min_attempt_time;
    conditions.budget_left = true;
    const next_step step = decide_next_step(conditions);
    if (step != next_step::retry || outcome == attempt_outcome::not_sent) {
        return step;
    }
    conditions.budget_left = services_.budget.try_take(admitted_.service_name, now);
    return decide_next_step(conditions);
}

bool request_relay::another_upstream_available() const {
    return chooser_
               .choose(request_, admitted_, work_key_, excluded_upstreams(upstream_),
                       current_answer_times())
               .outcome == placement_decision::verdict::place;
}

bool request_relay::declined_by_all() const {
    const std::vector<upstream_entry>& ready = services_.upstreams.ready(admitted_.service_name);
    return !ready.empty() &&
           std::all_of(ready.begin(), ready.end(), [this](const upstream_entry& entry) {
               return declined_by_.count(entry.id) > 0;
           });
}

std::set<std::string> request_relay::excluded_upstreams(const std::string& failed) const {
    std::set<std::string> result = declined_by_;
    if (!failed.empty()) {
        result.insert(failed);
    }
    return result;
}

void request_relay::record_attempt(attempt_outcome outcome) {
    if (outcome != attempt_outcome::not_sent) {
        sent_to_.insert(upstream_);
    }
    const bool helper_at_fault = !at_fault_.empty() && at_fault_ != upstream_;
    if (outcome == attempt_outcome::declined && !helper_at_fault) {
        declined_by_.insert(upstream_);
    }
}

void request_relay::on_attempt_failed(upstream_attempt& from, attempt_outcome outcome,
                                      const std::string& reason) {
    if (is_standby(from)) {
        drop_standby(reason);
        return;
    }
    const attempt_outcome effective_outcome =
        response_started_ ? attempt_outcome::broken_stream : outcome;
    end_attempt(effective_outcome, step_after(effective_outcome), reason);
}

void request_relay::end_attempt(attempt_outcome outcome, next_step step,
                                const std::string& reason) {
    at_fault_ = attempt_->at_fault();
    log_.attempt_failed(upstream_, at_fault_, attempts_, reason,
                        services_.timers.now() - attempt_->sent_at(), step == next_step::retry);
    if (step == next_step::forward) {
        return;
    }
    attempt_.reset();
    work_.advance(work_phase::ended);
    record_attempt(outcome);
    const bool not_executed =
        outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined;
    if (!not_executed) {
        ++executed_attempts_;
        may_have_run_ = true;
    }
    apply_next_step(step, reason);
}

void request_relay::apply_next_step(next_step step, const std::string& reason) {
    if (standby_ && step != next_step::retry) {
        resume_standby();
        return;
    }
    switch (step) {
        case next_step::retry:
            services_.metrics.retried(reason);
            events_.drop_partial();
            failed_upstream_ = std::exchange(at_fault_, "");
            if (failed_upstream_.empty()) {
                failed_upstream_ = upstream_;
            }
            wait_until_ = std::min(std::max(wait_until_, services_.timers.now() + retry_wait),
                                   deadline_ - min_attempt_time);
            place();
            return;
        case next_step::refuse:
            refuse({status_unavailable, "no_room", retry_after_}, reason);
            return;
        case next_step::report_failure:
            send_failure(status_bad_gateway, "upstream_failed", reason);
            return;
        case next_step::abort:
            log_request_end("stream_broken", 0, reason);
            sink_.abort();
            return;
        case next_step::forward:
            return;
    }
}

void request_relay::check_timeouts() {
    if (done_ || admitted_.matched_route == nullptr) {
        return;
    }
    const instant now = services_.timers.now();
    if (now >= deadline_) {
        time_out();
    } else if (services_.serving_time_left() <= duration::zero() && !response_started_) {
        end_with_host();
    } else if (attempt_ && attempt_->sent() && repeatable()) {
        check_progress(now);
    }
}

void request_relay::cancel_attempts(const char* reason) {
    may_have_run_ = may_have_run_ || (attempt_ && attempt_->sent());
    attempt_.reset();
    work_.advance(work_phase::ended);
    drop_standby(reason);
    end_waiting();
}

void request_relay::end_with_host() {
    cancel_attempts("host stopping");
    if (may_have_run_) {
        send_failure(status_bad_gateway, "host_stopping");
    } else {
        refuse({status_unavailable, "host_stopping", host_stopping_retry_after});
    }
}

void request_relay::time_out() {
    cancel_attempts("deadline passed");
    if (response_started_) {
        apply_next_step(next_step::abort, "deadline passed");
    } else if (may_have_run_) {
        send_failure(status_timeout, "deadline_passed");
    } else {
        refuse({status_unavailable, "deadline_passed", {}});
    }
}

void request_relay::check_progress(instant now) {
    stall_conditions conditions;
    conditions.is_stream = admitted_.matched_route->streams();
    conditions.awaiting_first_event = work_.awaiting_first_event();
    conditions.target = admitted_.matched_route->target;
    conditions.timeout = admitted_.matched_route->timeout;
    conditions.target_gap = admitted_.matched_route->target_gap;
    conditions.expected_first_event = decision_.time_to_first_event;
    if (const engine_profile* profile = find_engine_profile()) {
        conditions.full_prefill_time = prefill_time(*profile, request_.prompt_tokens.value_or(0));
    }
    const bool known = last_stall_at_ >= attempt_->progress_at();
    const duration limit = known ? stall_recheck_period : stall_timeout(conditions);
    if (now - std::max(attempt_->progress_at(), last_stall_at_) < limit) {
        return;
    }
    if (!known) {
        services_.health.on_result(upstream_id(upstream_), attempt_evidence::failed, now);
    }
    last_stall_at_ = now;
    try_beside_silent_upstream();
}

void request_relay::try_beside_silent_upstream() {
    if (standby_) {
        return;
    }
    const std::uint64_t key = stable_hash(request_.id, static_cast<std::uint64_t>(attempts_));
    const placement_decision decision = chooser_.choose(
        request_, admitted_, key, excluded_upstreams(upstream_), current_answer_times());
    const attempt_outcome outcome =
        response_started_ ? attempt_outcome::broken_stream : attempt_outcome::unknown;
    if (decision.outcome != placement_decision::verdict::place ||
        step_after(outcome) != next_step::retry) {
        return;
    }
    const instant now = services_.timers.now();
    log_.attempt_stalled(upstream_, attempts_, now - attempt_->progress_at());
    services_.metrics.retried("upstream silent");
    ++executed_attempts_;
    may_have_run_ = true;
    failed_upstream_ = upstream_;
    sent_to_.insert(upstream_);
    wait_until_ = std::min(std::max(wait_until_, now + retry_wait), deadline_ - min_attempt_time);
    standby_ = std::make_unique<standby_attempt>(standby_attempt{
        std::move(attempt_), decision_, std::exchange(work_, request_work(services_.work_table)),
        work_key_, attempts_, events_});
    events_.drop_partial();
    work_key_ = key;
    dispatch(decision);
}

bool request_relay::is_standby(const upstream_attempt& attempt) const {
    return standby_ && standby_->attempt.get() == &attempt;
}

void request_relay::resume_standby() {
    const std::unique_ptr<standby_attempt> standby = std::move(standby_);
    end_waiting();
    attempt_ = std::move(standby->attempt);
    work_.advance(work_phase::ended);
    work_ = std::move(standby->work);
    work_key_ = standby->work_key;
    decision_ = standby->decision;
    upstream_ = decision_.engine;
    events_ = std::move(standby->events);
    last_stall_at_ = services_.timers.now();
    log_.attempt_resumed(upstream_);
}

void request_relay::drop_standby(const std::string& reason) {
    if (!standby_) {
        return;
    }
    const std::unique_ptr<standby_attempt> standby = std::move(standby_);
    log_.attempt_failed(standby->decision.engine, standby->attempt->at_fault(), standby->number,
                        reason, services_.timers.now() - standby->attempt->sent_at(), true);
    standby->work.advance(work_phase::ended);
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
    log_.ended(admitted_, {outcome, status, reason, detail, upstream_, attempts_, may_have_run_,
                           events_.count()});
}

}  // namespace fuchsiaquay
