#include "servers/requests/deduplicate_filter.hpp"

#include <string>

#include "core/request/attempt_result.hpp"
#include "core/request/recorded_answer.hpp"
#include "core/request/refusal.hpp"
#include "servers/journal/begin_request.hpp"
#include "servers/journal/begin_result.hpp"
#include "servers/journal/journal_service.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;

refusal key_refusal(int status, const std::string& code, const std::string& message) {
    refusal reason;
    reason.status = status;
    reason.code = code;
    reason.message = message;
    return reason;
}

refusal not_run_refusal(const begin_result& result) {
    refusal reason =
        key_refusal(status_unavailable, "not_run", "this attempt was not run: " + result.reason);
    if (!result.key_unused) {
        reason.message += "; the journal could not say whether an earlier attempt with the key ran";
    }
    reason.retry_after = result.retry_after;
    return reason;
}

refusal make_refusal(const begin_result& result) {
    switch (result.verdict) {
        case begin_verdict::malformed_key:
            return key_refusal(status_bad_request, "idempotency_key_required",
                               "Idempotency-Key: allowed: a UUIDv7");
        case begin_verdict::expired_key: {
            // The journal entry of an expired key is gone, so an earlier attempt may have run.
            refusal reason = key_refusal(status_bad_request, "idempotency_key_expired",
                                         "the key is older than the retention period");
            reason.ran = execution::maybe;
            return reason;
        }
        case begin_verdict::future_key:
            return key_refusal(status_bad_request, "idempotency_key_from_future",
                               "the key was issued ahead of the clock");
        case begin_verdict::reused_key:
            return key_refusal(status_unprocessable, "idempotency_key_reused",
                               "the key came before with a different request");
        case begin_verdict::in_progress: {
            refusal reason =
                key_refusal(status_conflict, "in_progress", "a call with this key is under way");
            reason.ran = execution::maybe;
            reason.retry_after = result.retry_after;
            return reason;
        }
        case begin_verdict::may_have_run: {
            refusal reason = key_refusal(status_conflict, "may_have_run",
                                         "a call with this key was started; its end is not known "
                                         "and it is not run again");
            reason.ran = execution::maybe;
            return reason;
        }
        default:
            return not_run_refusal(result);
    }
}

recorded_answer to_recorded_answer(const journal_outcome& outcome) {
    recorded_answer answer;
    answer.status = outcome.status;
    answer.content_type = outcome.content_type;
    answer.body = outcome.body;
    return answer;
}

}  // namespace

void deduplicate_filter::admit(const std::shared_ptr<request_flow>& flow,
                               const filter_callbacks& callbacks) {
    if (flow->context().kind != request_kind::service_call || flow->repeatable) {
        callbacks.proceed();
        return;
    }
    begin_request request;
    request.customer = flow->terms->customer;
    request.key = flow->context().idempotency_key;
    request.fingerprint = flow->context().body_fingerprint;
    request.time_left = flow->deadline - timers_.now();
    journal_.begin(request, [this, flow, callbacks](const begin_result& result) {
        on_begin_result(flow, callbacks, result);
    });
}

void deduplicate_filter::on_begin_result(const std::shared_ptr<request_flow>& flow,
                                         const filter_callbacks& callbacks,
                                         const begin_result& result) {
    if (flow->ended()) {
        // The request's deadline passed while the journal was writing the start.
        if (result.verdict == begin_verdict::started) {
            journal_.abandon(result.token);
        }
        return;
    }
    if (result.verdict == begin_verdict::started) {
        flow->journal_entry = result.token;
        callbacks.proceed();
        return;
    }
    const bool ended_before = result.verdict == begin_verdict::finished && result.outcome;
    if (ended_before && result.outcome->known && result.outcome->body_kept) {
        callbacks.replay(to_recorded_answer(*result.outcome));
        return;
    }
    if (ended_before && result.outcome->known) {
        refusal reason = key_refusal(status_conflict, "already_run",
                                     "a call with this key ran with status " +
                                         std::to_string(result.outcome->status) +
                                         "; its answer is no longer kept");
        reason.ran = execution::yes;
        callbacks.refuse(reason);
        return;
    }
    if (ended_before) {
        begin_result uncertain = result;
        uncertain.verdict = begin_verdict::may_have_run;
        callbacks.refuse(make_refusal(uncertain));
        return;
    }
    callbacks.refuse(make_refusal(result));
}

void deduplicate_filter::finish(const std::shared_ptr<request_flow>& flow,
                                const attempt_result& result) {
    if (!flow->journal_entry) {
        return;
    }
    const journal_token token = *flow->journal_entry;
    flow->journal_entry.reset();
    if (result.ran == execution::no) {
        journal_.abandon(token);
        return;
    }
    if (!result.completed) {
        journal_.finish(token, journal_outcome::uncertain());
        return;
    }
    journal_.finish(token, journal_outcome::answered(static_cast<std::uint16_t>(result.status),
                                                     result.content_type, result.answer));
}

}  // namespace fuchsiaquay
