#include "drivers/api/service_session.hpp"

#include <cpprest/http_client.h>

#include <utility>

#include "core/request/dispatch_plan.hpp"
#include "core/request/recorded_answer.hpp"
#include "core/request/refusal.hpp"
#include "drivers/api/http_reply.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/http/client_pool.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/requests/request_pipeline.hpp"

namespace fuchsiaquay {

namespace http = web::http;

service_session::service_session(const api_services& services, const http::http_request& message,
                                 std::string path, std::string body)
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
    http::http_request call(message_.method());
    call.set_request_uri(path_);
    const utility::string_t content_type = message_.headers().content_type();
    if (!body_.empty()) {
        call.set_body(body_, content_type.empty() ? "application/octet-stream" : content_type);
    }
    if (!flow_->context().idempotency_key.empty()) {
        call.headers().add("Idempotency-Key", flow_->context().idempotency_key);
    }
    call.headers().add("X-Request-Id", flow_->context().id.value());
    auto client = client_pool::make_client(plan.target.address, plan.target.port);
    auto self = shared_from_this();
    client->request(call, cancellation_.get_token())
        .then([self, client](const http::http_response& response) {
            return response.extract_utf8string(true).then(
                [self, response](const std::string& body) { self->on_response(response, body); });
        })
        .then([self, client](const pplx::task<void>& done) {
            attempt_result result;
            try {
                done.get();
                return;
            } catch (const http::http_exception& error) {
                const bool refused = error.error_code() == std::errc::host_unreachable;
                result.ran = refused ? execution::no : execution::maybe;
                result.failure = refused ? "connect" : "broken";
            } catch (const std::exception&) {
                result.failure = "broken";
            }
            self->report(result);
        });
}

void service_session::on_response(const http::http_response& response, const std::string& body) {
    attempt_result result;
    result.content_type = response.headers().content_type();
    if (result.content_type.empty()) {
        result.content_type = "application/octet-stream";
    }
    if (try_end()) {
        reply_body(message_, response.status_code(), result.content_type, body);
    }
    result.completed = true;
    result.ran = execution::yes;
    result.status = response.status_code();
    result.answer = body;
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
    cancellation_.cancel();
    reply_refusal(message_, reason);
}

void service_session::replay(const recorded_answer& answer) {
    if (try_end()) {
        reply_body(message_, answer.status, answer.content_type, answer.body);
    }
}

bool service_session::try_end() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool first = !ended_;
    ended_ = true;
    return first;
}

}  // namespace fuchsiaquay
