#include "drivers/api/http_reply.hpp"

#include <algorithm>

#include "core/request/refusal.hpp"
#include "drivers/api/completion_formatter.hpp"

namespace fuchsiaquay {

namespace http = web::http;

namespace {

void send(const http::http_request& message, const http::http_response& response) {
    message.reply(response).then([](const pplx::task<void>& replied) {
        try {
            replied.get();
        } catch (const std::exception&) {
            // The caller has disconnected, so the reply cannot be delivered.
        }
    });
}

http::http_response make_response(int status, const std::string& content_type,
                                  const std::string& body) {
    http::http_response response(static_cast<http::status_code>(status));
    response.set_body(body, content_type);
    return response;
}

/// Seconds for the `Retry-After` header, rounded up so that callers do not retry too early.
std::int64_t retry_seconds(duration retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    return std::max<std::int64_t>(seconds, 1);
}

}  // namespace

void reply_body(const http::http_request& message, int status, const std::string& content_type,
                const std::string& body) {
    send(message, make_response(status, content_type, body));
}

void reply_json(const http::http_request& message, int status, const std::string& body) {
    reply_body(message, status, "application/json", body);
}

void reply_refusal(const http::http_request& message, const refusal& reason) {
    http::http_response response =
        make_response(reason.status, "application/json", error_body(reason));
    if (reason.retry_after > duration::zero()) {
        response.headers().add("Retry-After", std::to_string(retry_seconds(reason.retry_after)));
    }
    send(message, response);
}

}  // namespace fuchsiaquay
