#include "drivers/api/service_session.hpp"

#include <utility>

#include "core/request/dispatch_plan.hpp"
#include "core/request/recorded_answer.hpp"
#include "core/request/refusal.hpp"
#include "drivers/api/http_reply.hpp"
#include "drivers/control/control_loop.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/requests/request_pipeline.hpp"

namespace fuchsiaquay {

using boost::beast::http::field;

namespace {

constexpr int http_1_1 = 11;
constexpr const char* default_content_type = "application/octet-stream";

}  // namespace

service_session::service_session(const api_services& services,
                                 const web::http::http_request& message, std::string path,
                                 std::string body)
    : services_(services), message_(message), path_(std::move(path)), body_(std::move(body)) {}

void service_session::begin(const std::shared_ptr<request_flow>& flow) {
    flow_ = flow;
    auto self = shared_from_this();
    services_.loop.post([self] { self->services_.pipeline.begin(self->flow_); });
}

void service_session::dispatch(const dispatch_plan& plan) {
    auto self = shared_from_this();
    pplx::create_task([self, plan] { self->start_call(plan); });
}

void service_session::start_call(const dispatch_plan& plan) {
    service_call::request call;
    call.version(http_1_1);
    call.method_string(message_.method());
    call.target(path_);
    call.set(field::host, plan.target.address + ":" + std::to_string(plan.target.port));
    call.keep_alive(false);
    const std::string content_type = message_.headers().content_type();
    if (!body_.empty()) {
        call.set(field::content_type,
                 content_type.empty() ? default_content_type : content_type.c_str());
        call.body() = body_;
    }
    if (!flow_->context().idempotency_key.empty()) {
        call.set("Idempotency-Key", flow_->context().idempotency_key);
    }
    call.set("X-Request-Id", flow_->context().id.value());
    call.prepare_payload();
    auto started = std::make_shared<service_call>(
        plan.target.address, plan.target.port, std::move(call),
        [self = shared_from_this()](const service_call::result& answer) {
            self->on_answer(answer);
        });
    if (keep_call(started)) {
        started->start();
    }
}

bool service_session::keep_call(const std::shared_ptr<service_call>& started) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ended_) {
        return false;
    }
    call_ = started;
    return true;
}

void service_session::on_answer(const service_call::result& answer) {
    attempt_result result;
    if (!answer.failure.empty()) {
        result.ran = answer.failure == "connect" ? execution::no : execution::maybe;
        result.failure = answer.failure;
        report(result);
        return;
    }
    result.content_type = answer.content_type.empty() ? default_content_type : answer.content_type;
    if (try_end()) {
        reply_body(message_, answer.status, result.content_type, answer.body);
    }
    result.completed = true;
    result.ran = execution::yes;
    result.status = answer.status;
    result.answer = answer.body;
    report(result);
}

void service_session::report(const attempt_result& result) {
    auto self = shared_from_this();
    services_.loop.post(
        [self, result] { self->services_.pipeline.attempt_ended(self->flow_, result); });
}

void service_session::refuse(const refusal& reason) {
    if (!try_end()) {
        return;
    }
    cancel_call();
    reply_refusal(message_, reason);
}

void service_session::replay(const recorded_answer& answer) {
    if (try_end()) {
        reply_body(message_, answer.status, answer.content_type, answer.body);
    }
}

void service_session::cancel_call() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call_) {
        call_->cancel();
    }
}

bool service_session::try_end() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool first = !ended_;
    ended_ = true;
    return first;
}

}  // namespace fuchsiaquay
