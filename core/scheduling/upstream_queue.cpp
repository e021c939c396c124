#include "core/scheduling/upstream_queue.hpp"

#include <algorithm>
#include <utility>

#include "core/scheduling/engine_report.hpp"

namespace fuchsiaquay {
namespace {

/// Interval between checks of a queue that waits for the engine.
constexpr duration dispatch_interval = std::chrono::milliseconds(10);
constexpr duration min_retry_after = std::chrono::milliseconds(500);
constexpr double min_speed_ratio = 0.3;
constexpr double max_speed_ratio = 2.0;
/// Prefill is assumed to run at no less than this fraction of the total speed, however many streams
/// decode.
constexpr double min_prefill_share = 0.2;
/// Bound of the allowance for short work beside a long prefill, in seconds of the speed that is
/// left to short prompts.
constexpr double allowance_seconds = 1.0;

}  // namespace

upstream_queue::upstream_queue(const upstream_settings& settings,
                               std::unique_ptr<queue_policy> policy, bool rebuilding, instant now)
    : settings_(settings),
      policy_(std::move(policy)),
      progress_updated_at_(now),
      rebuilding_(rebuilding),
      started_at_(now) {
    grants_.advance(now, 0.0);
}

scheduling_actions upstream_queue::reserve(const reserve_request& request, instant now) {
    update_progress(now);
    scheduling_actions actions;
    const grant_record* known = grants_.find_request(request.request);
    if (known != nullptr) {
        reserve_reply reply = make_reply(request.request);
        reply.outcome = reserve_outcome::granted;
        reply.grant = known->grant;
        reply.grant_lifetime = std::max(known->expires_at - now, duration::zero());
        reply.engine_priority = known->engine_priority;
        reply.reason = "repeated";
        actions.replies.push_back(addressed_reply{request.entry_host, reply});
        return actions;
    }
    queued_request queued = make_queued(request, now);
    if (never_fits(queued)) {
        refuse(request, settings_.max_retry_after, "too_large", actions);
        return actions;
    }
    const bool repeated = policy_->contains(request.request);
    queued.expected_wait = expected_wait(queued, now);
    if (!repeated) {
        const duration slack = queued.deadline - now - service_time(queued, now);
        const bool deadline_unreachable =
            slack < duration::zero() || (settings_.refuse_early && queued.expected_wait > slack);
        if (deadline_unreachable) {
            refuse(request, retry_time(queued.expected_wait, slack), "deadline", actions);
            return actions;
        }
        policy_->push(queued, now);
        latest_starts_.emplace(queued.latest_start, request.request);
        dispatch(now, actions);
    }
    if (policy_->contains(request.request)) {
        reserve_reply reply = make_reply(request.request);
        reply.outcome = reserve_outcome::queued;
        reply.start_estimate = queued.expected_wait;
        reply.reason = rebuilding_ ? "rebuilding" : "busy";
        actions.replies.push_back(addressed_reply{request.entry_host, reply});
    }
    return actions;
}

scheduling_actions upstream_queue::release(const grant_release& release, instant now) {
    update_progress(now);
    scheduling_actions actions;
    const std::optional<queued_request> waiting = policy_->remove(release.request);
    if (waiting) {
        latest_starts_.erase({waiting->latest_start, release.request});
    }
    const grant_record* by_request = grants_.find_request(release.request);
    const grant_id grant =
        release.grant.empty() && by_request != nullptr ? by_request->grant : release.grant;
    const grant_record* record = grants_.find(grant);
    if (record != nullptr) {
        const std::int64_t unexpected = release.generated_tokens - record->output_tokens;
        if (unexpected > 0) {
            policy_->record_served_work(record->level, record->is_long,
                                        static_cast<double>(unexpected), now);
        }
        grants_.erase(grant);
    }
    dispatch(now, actions);
    return actions;
}

scheduling_actions upstream_queue::renew(const grant_renewal& renewal, instant now) {
    update_progress(now);
    scheduling_actions actions;
    grant_record* known = grants_.find(renewal.grant);
    if (known != nullptr) {
        known->expires_at = now + settings_.grant_lifetime;
        return actions;
    }
    if (grants_.recently_ended(renewal.grant)) {
        return actions;
    }
    grant_record record;
    record.grant = renewal.grant;
    record.request = renewal.request;
    record.entry_host = renewal.entry_host;
    record.customer = renewal.customer;
    record.level = renewal.level;
    record.memory_tokens = renewal.memory_tokens;
    record.is_long = renewal.memory_tokens > settings_.long_prompt_tokens;
    record.granted_at = now;
    record.expires_at = now + settings_.grant_lifetime;
    grants_.add(record);
    return actions;
}

scheduling_actions upstream_queue::tick(instant now) {
    update_progress(now);
    scheduling_actions actions;
    if (rebuilding_ && engine_listed_ && now - started_at_ >= settings_.rebuild_time) {
        rebuilding_ = false;
    }
    cancel_expired(now, actions);
    refuse_overdue(now, actions);
    dispatch(now, actions);
    return actions;
}

scheduling_actions upstream_queue::observe_engine(const engine_report& report, instant now) {
    update_progress(now);
    engine_listed_ = true;
    if (report.memory_tokens > 0) {
        settings_.memory_tokens = report.memory_tokens;
    }
    scheduling_actions actions;
    // While the owner rebuilds its state, entry hosts may not have registered their grants again
    // yet.
    const duration grace =
        rebuilding_ ? settings_.orphan_grace + settings_.rebuild_time : settings_.orphan_grace;
    actions.cancels = grants_.observe(report, grace, settings_.unreachable_issuer_grace, now);
    speed_ratio_ = std::clamp(speed_ratio_ * grants_.take_speed_correction(), min_speed_ratio,
                              max_speed_ratio);
    dispatch(now, actions);
    return actions;
}

instant upstream_queue::next_wakeup(instant now) const {
    instant next = grants_.next_expiry();
    if (!latest_starts_.empty()) {
        next =
            std::min({next, latest_starts_.begin()->first + duration(1), now + dispatch_interval});
    }
    if (rebuilding_) {
        next = std::min(next, now + settings_.rebuild_time);
    }
    return std::max(next, now + duration(1));
}

std::int64_t upstream_queue::free_memory_tokens() const noexcept {
    return std::max<std::int64_t>(settings_.memory_tokens - grants_.memory_used(), 0);
}

void upstream_queue::update_progress(instant now) {
    const double seconds = std::max(to_seconds(now - progress_updated_at_), 0.0);
    const double speed = prefill_speed();
    for (const served_work& work : grants_.advance(now, speed)) {
        policy_->record_served_work(work.level, work.is_long, work.tokens, now);
    }
    const double short_speed = (1.0 - settings_.long_share) * speed;
    const double max_allowance = short_speed * allowance_seconds;
    short_allowance_ =
        std::clamp(short_allowance_ + short_speed * seconds, -max_allowance, max_allowance);
    policy_->set_long_prefill_level(grants_.long_prefill_level(), now);
    if (grants_.long_prefill_level() < 0) {
        short_allowance_ = max_allowance;
    }
    progress_updated_at_ = now;
}

void upstream_queue::dispatch(instant now, scheduling_actions& actions) {
    while (const std::optional<policy_pick> pick = policy_->pop(make_admission(), now)) {
        latest_starts_.erase({pick->queued.latest_start, pick->queued.request.request});
        grant(*pick, now, actions);
    }
}

void upstream_queue::refuse_overdue(instant now, scheduling_actions& actions) {
    while (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
        const request_id request = latest_starts_.begin()->second;
        latest_starts_.erase(latest_starts_.begin());
        const std::optional<queued_request> waiting = policy_->remove(request);
        if (waiting) {
            refuse(waiting->request, retry_time(now - waiting->arrived, duration::zero()),
                   "given_up", actions);
        }
    }
}

void upstream_queue::cancel_expired(instant now, scheduling_actions& actions) {
    for (const grant_record& record : grants_.expired(now)) {
        grants_.erase(record.grant);
        actions.cancels.push_back(record.grant);
    }
}

void upstream_queue::grant(const policy_pick& pick, instant now, scheduling_actions& actions) {
    const queued_request& queued = pick.queued;
    const int engine_priority = pick.terms.engine_priority;
    grant_record record;
    record.grant = next_grant_id();
    record.request = queued.request.request;
    record.entry_host = queued.request.entry_host;
    record.customer = queued.request.customer;
    record.level = queued.request.level;
    record.is_long = queued.is_long;
    record.over_share = pick.terms.over_share;
    record.memory_tokens = queued.request.memory_tokens;
    record.output_tokens = queued.request.expected_output_tokens;
    record.prefill_left = static_cast<double>(queued.prefill_tokens);
    record.engine_priority = engine_priority;
    record.granted_at = now;
    record.expires_at = now + settings_.grant_lifetime;
    grants_.add(record);
    if (!queued.is_long) {
        short_allowance_ -= record.prefill_left;
    }
    if (rebuilding_) {
        rebuild_granted_ += record.memory_tokens;
    }
    start_error_.add(queued.expected_wait, now - queued.arrived);
    reserve_reply reply = make_reply(record.request);
    reply.outcome = reserve_outcome::granted;
    reply.grant = record.grant;
    reply.grant_lifetime = settings_.grant_lifetime;
    reply.start_estimate = from_seconds(
        (grants_.prefill_ahead(engine_priority) - record.prefill_left) / prefill_speed());
    reply.engine_priority = engine_priority;
    reply.reason = "fits";
    actions.replies.push_back(addressed_reply{record.entry_host, reply});
}

void upstream_queue::refuse(const reserve_request& request, duration retry_after,
                            const std::string& reason, scheduling_actions& actions) const {
    reserve_reply reply = make_reply(request.request);
    reply.outcome = reserve_outcome::refused;
    reply.retry_after = retry_after;
    reply.reason = reason;
    actions.replies.push_back(addressed_reply{request.entry_host, reply});
}

upstream_admission upstream_queue::make_admission() const {
    return upstream_admission(settings_, grants_, *policy_,
                              admission_state{prefill_speed(), short_allowance_,
                                              progress_updated_at_, rebuilding_, rebuild_granted_});
}

reserve_reply upstream_queue::make_reply(const request_id& request) const {
    reserve_reply reply;
    reply.request = request;
    reply.upstream = settings_.upstream;
    reply.free_memory_tokens = free_memory_tokens();
    const double long_left = grants_.prefill_left(true) + policy_->queued_cost(true);
    const double short_left = grants_.prefill_left(false) + policy_->queued_cost(false);
    reply.queued_long_tokens = static_cast<std::int64_t>(long_left);
    reply.queued_prefill_tokens = static_cast<std::int64_t>(long_left + short_left);
    reply.running_requests = static_cast<std::int64_t>(grants_.size());
    return reply;
}

queued_request upstream_queue::make_queued(const reserve_request& request, instant now) const {
    queued_request queued;
    queued.request = request;
    queued.arrived = now;
    queued.deadline = now + request.time_left;
    queued.prefill_tokens =
        std::max<std::int64_t>(request.prompt_tokens - request.cached_tokens, 1);
    queued.cost = static_cast<double>(queued.prefill_tokens + request.expected_output_tokens);
    queued.is_long = queued.prefill_tokens > settings_.long_prompt_tokens;
    queued.latest_start = queued.deadline - service_time(queued, now);
    return queued;
}

duration upstream_queue::service_time(const queued_request& queued, instant now) const {
    const double speed =
        queued.is_long ? policy_->expected_speed(queued, total_speed(), now) : prefill_speed();
    const double prefill = static_cast<double>(queued.prefill_tokens) / speed;
    const double decode = static_cast<double>(queued.request.expected_output_tokens) *
                          to_seconds(settings_.decode_step);
    return from_seconds((prefill + decode) * settings_.service_margin);
}

duration upstream_queue::expected_wait(const queued_request& queued, instant now) const {
    const int priority = policy_->terms(queued, now).engine_priority;
    const double ahead =
        queued.is_long ? grants_.prefill_left(true) : grants_.prefill_ahead(priority);
    const duration granted = from_seconds(ahead / prefill_speed());
    const duration waiting = policy_->expected_wait(queued, total_speed(), now);
    return from_seconds(to_seconds(granted + waiting) * start_error_.correction());
}

duration upstream_queue::retry_time(duration wait, duration slack) const {
    return std::clamp(wait - std::max(slack, duration::zero()), min_retry_after,
                      settings_.max_retry_after);
}

bool upstream_queue::never_fits(const queued_request& queued) const {
    const std::int64_t reserved = queued.is_long ? settings_.short_memory_tokens : 0;
    return queued.request.memory_tokens > settings_.memory_tokens - reserved;
}

double upstream_queue::prefill_speed() const {
    const double decode_speed =
        static_cast<double>(grants_.decoding()) / to_seconds(settings_.decode_step);
    return std::max(total_speed() - decode_speed, total_speed() * min_prefill_share);
}

double upstream_queue::total_speed() const {
    return settings_.tokens_per_second * speed_ratio_;
}

grant_id upstream_queue::next_grant_id() {
    return grant_id(settings_.owner.value() + "-" + std::to_string(settings_.incarnation) + "-" +
                    settings_.upstream.value() + "-" + std::to_string(++last_grant_));
}

}  // namespace fuchsiaquay
