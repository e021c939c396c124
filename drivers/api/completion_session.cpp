#include "drivers/api/completion_session.hpp"

#include <pplx/pplxtasks.h>

#include <utility>

#include "core/request/recorded_answer.hpp"
#include "core/request/refusal.hpp"
#include "drivers/api/api_limits.hpp"
#include "drivers/api/http_reply.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/engine/engine_call.hpp"
#include "drivers/engine/engine_client.hpp"
#include "drivers/engine/engine_outcome.hpp"
#include "drivers/engine/group_prefill.hpp"
#include "drivers/http/monotonic_now.hpp"
#include "servers/request_metrics.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/requests/request_pipeline.hpp"

namespace fuchsiaquay {

namespace http = web::http;

completion_session::completion_session(const api_services& services,
                                       const http::http_request& message, completion_body body,
                                       completion_formatter format)
    : services_(services), message_(message), body_(std::move(body)), format_(std::move(format)) {}

completion_session::~completion_session() = default;

void completion_session::begin(const std::shared_ptr<request_flow>& flow) {
    flow_ = flow;
    auto self = shared_from_this();
    services_.loop.post([self] { self->services_.pipeline.begin(self->flow_); });
}

void completion_session::dispatch(const dispatch_plan& plan) {
    auto self = shared_from_this();
    // Building the body of a long prompt takes milliseconds, so it must not run on the control
    // thread.
    pplx::create_task([self, plan] { self->start_call(plan); });
}

void completion_session::start_call(const dispatch_plan& plan) {
    engine_request request;
    request.address = plan.target.address;
    request.port = plan.target.port;
    request.model = body_.model;
    request.prompt = body_.prompt;
    request.max_tokens = body_.max_tokens;
    request.priority = plan.priority;
    request.stream_id = plan.grant.value();
    request.resume_from = plan.resume_offset;
    request.parts = plan.parts;
    request.stall_timeout = services_.limits.stall_timeout;
    const std::int64_t prefill_seconds =
        estimate_prompt_tokens(*body_.prompt) / services_.limits.min_prefill_rate;
    request.first_token_timeout =
        services_.limits.stall_timeout + std::chrono::seconds(prefill_seconds);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) {
        return;
    }
    dispatched_ = true;
    level_ = plan.level;
    attempt_tokens_ = 0;
    last_write_ = monotonic_now();
    if (plan.parts.empty()) {
        call_ = services_.engines.start(request, shared_from_this());
        return;
    }
    auto self = shared_from_this();
    group_ = std::make_shared<group_prefill>(
        services_.loop, services_.clients, plan.parts, body_.model, body_.prompt, plan.priority,
        [self, request](const std::string& failure, const upstream_id& failed_upstream) {
            self->on_group_prefill_end(request, failure, failed_upstream);
        });
    group_->start();
}

void completion_session::on_group_prefill_end(const engine_request& request,
                                              const std::string& failure,
                                              const upstream_id& failed_upstream) {
    if (!failure.empty()) {
        engine_outcome outcome;
        outcome.failure = failure;
        report_end(outcome, failed_upstream);
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!ended_) {
        call_ = services_.engines.start(request, shared_from_this());
    }
}

void completion_session::on_tokens(const std::vector<token_event>& events) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) {
        return;
    }
    record_token_times(static_cast<std::int64_t>(events.size()));
    attempt_tokens_ += static_cast<std::int64_t>(events.size());
    total_tokens_ += static_cast<std::int64_t>(events.size());
    if (!events.back().finish_reason.empty()) {
        finish_reason_ = events.back().finish_reason;
    }
    if (body_.stream) {
        open_stream();
        write(format_.stream_chunk(events));
        return;
    }
    for (const token_event& event : events) {
        collected_text_ += event.text;
    }
}

void completion_session::record_token_times(std::int64_t tokens) {
    const instant now = monotonic_now();
    if (total_tokens_ == 0) {
        services_.metrics.first_token(level_, flow_->context().prompt_tokens,
                                      now - flow_->context().arrived);
    } else {
        services_.metrics.token_gap(now - last_token_time_, tokens);
    }
    last_token_time_ = now;
}

void completion_session::on_end(const engine_outcome& outcome) {
    report_end(outcome, upstream_id());
}

void completion_session::report_end(const engine_outcome& outcome,
                                    const upstream_id& failed_upstream) {
    attempt_result result;
    result.completed = outcome.completed;
    result.ran = outcome.ran;
    result.failure = outcome.failure;
    result.cached_tokens = outcome.cached_tokens;
    result.failed_upstream = failed_upstream;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        result.delivered_tokens = attempt_tokens_;
        result.generated_tokens = attempt_tokens_;
        dispatched_ = false;
        call_.reset();
        release_group();
        if (outcome.completed && !ended_) {
            finish_response(outcome);
        }
    }
    auto self = shared_from_this();
    services_.loop.post(
        [self, result] { self->services_.pipeline.attempt_ended(self->flow_, result); });
}

void completion_session::finish_response(const engine_outcome& outcome) {
    ended_ = true;
    if (body_.stream) {
        open_stream();
        write(format_.stream_end());
        close_stream();
        return;
    }
    const std::string text = format_.full_response(collected_text_, finish_reason_,
                                                   outcome.prompt_tokens, total_tokens_);
    reply_json(message_, http::status_codes::OK, text);
}

void completion_session::refuse(const refusal& reason) {
    std::shared_ptr<engine_call> call;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = true;
        call = std::move(call_);
        release_group();
        if (stream_open_) {
            write(format_.stream_error(reason));
            close_stream();
        } else {
            reply_refusal(message_, reason);
        }
    }
    if (call) {
        call->cancel();
    }
}

void completion_session::replay(const recorded_answer& /*answer*/) {
    // Completions have no idempotency key, so no response is recorded for them.
}

bool completion_session::keep_alive(instant now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) {
        return false;
    }
    const bool quiet = now - last_write_ >= services_.limits.keep_alive_period;
    if (body_.stream && (dispatched_ || stream_open_) && quiet) {
        open_stream();
        write(": keep-alive\n\n");
    }
    return true;
}

void completion_session::release_group() {
    if (group_) {
        group_->cancel();
        group_->release_parts();
        group_.reset();
    }
}

void completion_session::open_stream() {
    if (stream_open_) {
        return;
    }
    stream_open_ = true;
    http::http_response response(http::status_codes::OK);
    response.headers().set_content_type("text/event-stream");
    response.headers().add("Cache-Control", "no-cache");
    response.headers().add("X-Request-Id", flow_->context().id.value());
    response.set_body(buffer_.create_istream());
    auto self = shared_from_this();
    message_.reply(response).then([self](const pplx::task<void>& replied) {
        try {
            replied.get();
        } catch (const std::exception&) {
            self->on_caller_disconnected();
        }
    });
}

void completion_session::write(const std::string& text) {
    last_write_ = monotonic_now();
    buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    // Without this the server sends nothing until a full chunk has accumulated.
    buffer_.sync();
}

void completion_session::close_stream() {
    buffer_.close(std::ios_base::out);
}

void completion_session::on_caller_disconnected() {
    std::shared_ptr<engine_call> call;
    attempt_result result;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = true;
        call = std::move(call_);
        release_group();
        result.failure = "caller_left";
        result.delivered_tokens = attempt_tokens_;
        result.generated_tokens = attempt_tokens_;
    }
    if (call) {
        call->cancel();
    }
    auto self = shared_from_this();
    services_.loop.post([self, result] { self->services_.pipeline.abandon(self->flow_, result); });
}

}  // namespace fuchsiaquay
