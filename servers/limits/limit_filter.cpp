#include "servers/limits/limit_filter.hpp"

#include <string>

#include "core/request/attempt_result.hpp"
#include "core/request/refusal.hpp"
#include "servers/limits/limit_service.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {
namespace {

constexpr int status_too_many_requests = 429;

double estimated_tokens(const request_context& context) {
    return static_cast<double>(context.prompt_tokens + context.max_tokens);
}

}  // namespace

void limit_filter::admit(const std::shared_ptr<request_flow>& flow,
                         const filter_callbacks& callbacks) {
    try_admit(flow, callbacks, timers_.now() + smoothing_limit);
}

void limit_filter::try_admit(const std::shared_ptr<request_flow>& flow,
                             const filter_callbacks& callbacks, instant deadline) {
    if (flow->ended()) {
        return;
    }
    const request_context& context = flow->context();
    const double estimated = estimated_tokens(context);
    const limit_verdict admission = limits_.admit(*flow->terms, estimated);
    if (admission.admitted()) {
        admitted_[context.id] = estimated;
        callbacks.proceed();
        return;
    }
    const bool can_be_delayed = admission.reached != limit_kind::concurrency &&
                                timers_.now() + admission.retry_after <= deadline;
    if (can_be_delayed) {
        timers_.after(admission.retry_after,
                      [this, flow, callbacks, deadline] { try_admit(flow, callbacks, deadline); });
        return;
    }
    refusal reason;
    reason.status = status_too_many_requests;
    reason.code = "limit_reached";
    reason.message = std::string("the contract's ") + to_text(admission.reached) + " is reached";
    reason.retry_after = admission.retry_after;
    callbacks.refuse(reason);
}

void limit_filter::finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) {
    const auto found = admitted_.find(flow->context().id);
    if (found == admitted_.end()) {
        return;
    }
    const double estimated = found->second;
    admitted_.erase(found);
    const bool ran = result.ran != execution::no;
    const auto generated = static_cast<double>(result.generated_tokens);
    const double actual =
        ran ? static_cast<double>(flow->context().prompt_tokens) + generated : 0.0;
    limits_.finish(flow->terms->customer, estimated, actual);
}

}  // namespace fuchsiaquay
