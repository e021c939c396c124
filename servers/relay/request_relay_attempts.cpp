/// @file
/// The part of `request_relay` that makes attempts at upstreams and decides what follows them.

#include <algorithm>
#include <utility>

#include "core/fleet/evacuation_set.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/health/attempt_evidence.hpp"
#include "core/health/upstream_health.hpp"
#include "core/identity/names.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/relay/stall_timeout.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/answer_times.hpp"
#include "servers/relay/evacuation_guard.hpp"
#include "servers/relay/relay_queue.hpp"
#include "servers/relay/request_relay.hpp"
#include "servers/relay/response_sink.hpp"
#include "servers/relay/standby_attempt.hpp"
#include "servers/relay/upstream_attempt.hpp"
#include "servers/relay/upstream_chooser.hpp"
#include "servers/request_metrics.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
/// Time to wait for another upstream after a failed attempt, even beyond the route's target.
constexpr duration retry_wait = std::chrono::milliseconds(1'000);
/// Period of looking for another upstream while one is silent.
constexpr duration stall_recheck_period = std::chrono::milliseconds(100);

}  // namespace

bool request_relay::engines_ready() const {
    const auto listed = [this](const std::string& id) {
        const upstream_entry* entry = services_.upstreams.find(id);
        return entry != nullptr && entry->state == upstream_state::ready;
    };
    return evacuation_guard(services_).allows(decision_) && listed(decision_.engine) &&
           std::all_of(decision_.helpers.begin(), decision_.helpers.end(),
                       [&listed](const placement_part& part) { return listed(part.engine); });
}

void request_relay::begin_attempt() {
    history_.begin();
    if (history_.count() == 1) {
        services_.metrics.placed(admitted_.rank, services_.timers.now() - request_.received_at);
    }
    upstream_ = decision_.engine;
    attempt_parameters parameters;
    parameters.decision = decision_;
    parameters.work_key = work_key_;
    parameters.deadline = deadline_;
    parameters.number = history_.count();
    parameters.last_event_id =
        response_started_ ? std::to_string(events_.last_id()) : request_.last_event_id;
    parameters.resumes = response_started_;
    parameters.sent_before = history_.sent_to(upstream_);
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
    from.record_buffered(splitter.partial_bytes());
    if (events.empty()) {
        return;
    }
    const bool progress = splitter.count() > passed_before;
    if (is_standby(from)) {
        if (!progress) {
            return;
        }
        resume_standby();
    } else if (progress) {
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
        queue_.add_first_event(decision_.time_to_first_event, now - attempt_->sent_at());
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
    if (services_.work_table.cold_budget().is_cold(upstream_, now)) {
        services_.work_table.cold_slowdowns().observe(admitted_.service_name, ratio);
    }
    if (services_.work_table.slowdowns().observe(upstream_, ratio, now)) {
        log_.slowdown_changed(upstream_,
                              services_.work_table.slowdowns().slowdown_of(upstream_, now));
    }
}

void request_relay::on_response_complete(upstream_attempt& from) {
    if (is_standby(from)) {
        if (from.streaming() && standby_->events.has_partial()) {
            drop_standby("stream ended inside an event");
            return;
        }
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
    const bool unproved = attempt_->head().ends_with_connection && events_.count() == 0;
    if (unproved && request_.last_event_id.empty()) {
        // An upstream that ends after its head closes the connection in the same way.
        on_attempt_failed(*attempt_, attempt_outcome::unknown, "stream ended without an event");
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
    retry_conditions conditions;
    conditions.outcome = outcome;
    conditions.repeatable = repeatable();
    conditions.may_have_run = history_.may_have_run();
    conditions.attempts_left =
        history_.attempts_left(outcome, admitted_.matched_route->max_attempts);
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

std::set<std::string> request_relay::excluded_upstreams(const std::string& failed) const {
    std::set<std::string> result = history_.excluded(failed);
    if (standby_) {
        result.insert(standby_->decision.engine);
    }
    return result;
}

bool request_relay::declined_by_all() const {
    const std::vector<upstream_entry>& ready = services_.upstreams.ready(admitted_.service_name);
    const evacuation_set& evacuations = services_.evacuations.current();
    return !ready.empty() &&
           std::all_of(ready.begin(), ready.end(), [&](const upstream_entry& entry) {
               return history_.declined_by(entry.id) || evacuations.covers(entry.data_centre);
           });
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
    const std::string at_fault = attempt_->at_fault();
    log_.attempt_failed(upstream_, at_fault, history_.count(), reason,
                        services_.timers.now() - attempt_->sent_at(), step == next_step::retry);
    if (step == next_step::forward) {
        return;
    }
    attempt_.reset();
    work_.advance(work_phase::ended);
    history_.end(upstream_, outcome, at_fault);
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
            wait_until_ = std::min(std::max(wait_until_, services_.timers.now() + retry_wait),
                                   deadline_ - min_attempt_time);
            place();
            return;
        case next_step::refuse:
            refuse({status_unavailable, no_room_reason_, retry_after_}, reason);
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
    const bool known = last_stall_at_ > attempt_->progress_at();
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
    const std::uint64_t key =
        stable_hash(request_.id, static_cast<std::uint64_t>(history_.count()));
    const placement_decision decision = chooser_.choose(
        request_, admitted_, key, excluded_upstreams(upstream_), current_answer_times());
    const attempt_outcome outcome =
        response_started_ ? attempt_outcome::broken_stream : attempt_outcome::unknown;
    if (decision.outcome != placement_decision::verdict::place ||
        step_after(outcome) != next_step::retry) {
        return;
    }
    const instant now = services_.timers.now();
    log_.attempt_stalled(upstream_, history_.count(), now - attempt_->progress_at());
    services_.metrics.retried("upstream silent");
    history_.stall(upstream_);
    wait_until_ = std::min(std::max(wait_until_, now + retry_wait), deadline_ - min_attempt_time);
    standby_ = std::make_unique<standby_attempt>(standby_attempt{
        std::move(attempt_), decision_, std::exchange(work_, request_work(services_.work_table)),
        work_key_, history_.count(), events_});
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
    if (attempt_) {
        log_.attempt_failed(upstream_, "", history_.count(), "silent upstream went on",
                            services_.timers.now() - attempt_->sent_at(), false);
        history_.abandon(upstream_);
    }
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

void request_relay::count_if_held(const placement_decision& decision) {
    if (decision.over_share) {
        queue_.count_held_by_share();
    }
}

void request_relay::check_quarantine() {
    const bool placed_before = admitted_.matched_route != nullptr && !done_;
    if (placed_before && (waiting_ || !attempt_ || work_.awaiting_first_event()) &&
        services_.work_table.quarantine().blocks(request_.prompt_parts, services_.timers.now())) {
        end_quarantined();
    }
}

void request_relay::end_quarantined() {
    constexpr const char* reason = "prompt_part_ends_engines";
    cancel_attempts("prompt part in quarantine");
    if (response_started_) {
        apply_next_step(next_step::abort, reason);
    } else if (history_.may_have_run()) {
        send_failure(status_bad_gateway, reason);
    } else {
        const duration left = services_.work_table.quarantine().blocked_for(request_.prompt_parts,
                                                                            services_.timers.now());
        refuse({status_unavailable, reason, left});
    }
}

}  // namespace fuchsiaquay
