#include "servers/requests/request_pipeline.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "servers/decision_log.hpp"
#include "servers/request_metrics.hpp"
#include "servers/requests/request_filter.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/requests/request_listener.hpp"
#include "servers/requests/retry_rules.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_gateway_timeout = 504;
constexpr int status_unavailable = 503;
constexpr duration failed_retry_after = std::chrono::seconds(1);

attempt_result not_run() {
    attempt_result result;
    result.ran = execution::no;
    return result;
}

refusal failure_refusal(const attempt_result& failed) {
    refusal reason;
    reason.status = status_unavailable;
    reason.code = failed.ran == execution::no ? "not_run" : "upstream_failed";
    reason.message = "the upstream failed: " + failed.failure;
    reason.ran = failed.ran;
    reason.retry_after = failed_retry_after;
    return reason;
}

}  // namespace

request_pipeline::request_pipeline(timer_service& timers, decision_log& log,
                                   request_metrics& metrics, retry_rules& retries,
                                   filter_list request_filters, filter_list attempt_filters)
    : timers_(timers),
      log_(log),
      metrics_(metrics),
      retries_(retries),
      request_filters_(std::move(request_filters)),
      attempt_filters_(std::move(attempt_filters)) {}

request_pipeline::~request_pipeline() = default;

void request_pipeline::begin(const std::shared_ptr<request_flow>& flow) {
    active_.insert(flow);
    run_request_filters(flow, 0);
}

void request_pipeline::run_request_filters(const std::shared_ptr<request_flow>& flow,
                                           std::size_t index) {
    if (flow->ended()) {
        return;
    }
    if (flow->deadline_timer == 0 && flow->deadline != instant{}) {
        start_deadline_timer(flow);
    }
    if (index == request_filters_.size()) {
        start_attempt(flow);
        return;
    }
    flow->request_filters_passed = index + 1;
    request_filter::filter_callbacks callbacks;
    callbacks.proceed = [this, flow, index] { run_request_filters(flow, index + 1); };
    callbacks.refuse = [this, flow](const refusal& reason) { refuse(flow, reason); };
    callbacks.replay = [this, flow](const recorded_answer& answer) {
        if (flow->ended()) {
            return;
        }
        const std::shared_ptr<request_listener> listener = flow->listener();
        end(flow, not_run());
        if (listener) {
            listener->replay(answer);
        }
    };
    request_filters_[index]->admit(flow, callbacks);
}

void request_pipeline::start_attempt(const std::shared_ptr<request_flow>& flow) {
    if (flow->ended()) {
        return;
    }
    ++flow->attempts;
    if (flow->attempts == 1) {
        retries_.first_attempt(*flow, timers_.now());
    }
    flow->plan = dispatch_plan{};
    flow->plan.deadline = flow->deadline;
    flow->plan.level = flow->chosen_rank.level;
    flow->plan.priority = flow->chosen_rank.level;
    flow->plan.resume_offset = flow->context().resume_offset + flow->delivered_tokens;
    run_attempt_filters(flow, 0);
}

void request_pipeline::run_attempt_filters(const std::shared_ptr<request_flow>& flow,
                                           std::size_t index) {
    if (flow->ended()) {
        return;
    }
    if (index == attempt_filters_.size()) {
        dispatch(flow);
        return;
    }
    flow->attempt_filters_passed = index + 1;
    request_filter::filter_callbacks callbacks;
    callbacks.proceed = [this, flow, index] { run_attempt_filters(flow, index + 1); };
    callbacks.refuse = [this, flow](const refusal& reason) { refuse(flow, reason); };
    attempt_filters_[index]->admit(flow, callbacks);
}

void request_pipeline::dispatch(const std::shared_ptr<request_flow>& flow) {
    const std::shared_ptr<request_listener> listener = flow->listener();
    if (!listener) {
        end(flow, not_run());
        return;
    }
    flow->dispatched = true;
    log_.write(decision_log::level::info, "dispatch",
               {{"request", flow->context().id.value()},
                {"customer", flow->terms ? flow->terms->customer.value() : ""},
                {"rank", flow->chosen_rank.name},
                {"upstream", flow->plan.target.id.value()},
                {"grant", flow->plan.grant.value()},
                {"attempt", std::to_string(flow->attempts)},
                {"offset", std::to_string(flow->plan.resume_offset)}});
    listener->dispatch(flow->plan);
}

void request_pipeline::attempt_ended(const std::shared_ptr<request_flow>& flow,
                                     const attempt_result& result) {
    if (flow->ended() || !flow->dispatched) {
        return;
    }
    flow->dispatched = false;
    flow->delivered_tokens += result.delivered_tokens;
    if (result.completed) {
        metrics_.answered();
        end(flow, result);
        return;
    }
    flow->excluded.insert(result.failed_upstream.empty() ? flow->plan.target.id
                                                         : result.failed_upstream);
    finish_attempt_filters(flow, result);
    duration delay{};
    const bool again = retries_.allow(*flow, result, timers_.now(), delay);
    log_.write(decision_log::level::warning, again ? "retry" : "attempt_failed",
               {{"request", flow->context().id.value()},
                {"upstream", flow->plan.target.id.value()},
                {"failure", result.failure},
                {"ran", to_string(result.ran)},
                {"delay_ms", std::to_string(to_milliseconds(delay))}});
    if (!again) {
        refuse(flow, failure_refusal(result));
        return;
    }
    metrics_.retried(result.failure);
    timers_.after(delay, [this, flow] { start_attempt(flow); });
}

void request_pipeline::abandon(const std::shared_ptr<request_flow>& flow,
                               const attempt_result& result) {
    if (flow->ended()) {
        return;
    }
    log_.write(
        decision_log::level::info, "caller_left",
        {{"request", flow->context().id.value()}, {"upstream", flow->plan.target.id.value()}});
    end(flow, result);
}

void request_pipeline::start_deadline_timer(const std::shared_ptr<request_flow>& flow) {
    const duration left = std::max(flow->deadline - timers_.now(), duration::zero());
    flow->deadline_timer = timers_.after(left, [this, flow] { expire(flow); });
}

void request_pipeline::expire(const std::shared_ptr<request_flow>& flow) {
    refusal reason;
    reason.status = status_gateway_timeout;
    reason.code = "deadline_passed";
    reason.message = "the request did not finish within its time";
    reason.ran = flow->dispatched || flow->delivered_tokens > 0 ? execution::maybe : execution::no;
    reason.retry_after = failed_retry_after;
    refuse(flow, reason);
}

void request_pipeline::refuse(const std::shared_ptr<request_flow>& flow, const refusal& reason) {
    if (flow->ended()) {
        return;
    }
    log_.write(decision_log::level::info, "refuse",
               {{"request", flow->context().id.value()},
                {"customer", flow->terms ? flow->terms->customer.value() : ""},
                {"rank", flow->chosen_rank.name},
                {"code", reason.code},
                {"ran", to_string(reason.ran)},
                {"retry_after_ms", std::to_string(to_milliseconds(reason.retry_after))}});
    metrics_.refused(reason.code);
    const std::shared_ptr<request_listener> listener = flow->listener();
    attempt_result result;
    result.ran = reason.ran;
    result.failure = reason.code;
    end(flow, result);
    if (listener) {
        listener->refuse(reason);
    }
}

void request_pipeline::finish_attempt_filters(const std::shared_ptr<request_flow>& flow,
                                              const attempt_result& result) {
    while (flow->attempt_filters_passed > 0) {
        --flow->attempt_filters_passed;
        attempt_filters_[flow->attempt_filters_passed]->finish(flow, result);
    }
}

void request_pipeline::end(const std::shared_ptr<request_flow>& flow,
                           const attempt_result& result) {
    if (flow->ended()) {
        return;
    }
    flow->mark_ended();
    timers_.cancel(flow->deadline_timer);
    finish_attempt_filters(flow, result);
    while (flow->request_filters_passed > 0) {
        --flow->request_filters_passed;
        request_filters_[flow->request_filters_passed]->finish(flow, result);
    }
    log_.write(decision_log::level::info, "settle",
               {{"request", flow->context().id.value()},
                {"completed", result.completed ? "yes" : "no"},
                {"ran", to_string(result.ran)},
                {"attempts", std::to_string(flow->attempts)},
                {"tokens", std::to_string(flow->delivered_tokens)}});
    active_.erase(flow);
}

}  // namespace fuchsiaquay
