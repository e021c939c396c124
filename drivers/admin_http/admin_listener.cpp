#include "drivers/admin_http/admin_listener.hpp"

#include <cpprest/http_msg.h>

#include <string>

#include "drivers/admin/admin_api.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/http/limited_body.hpp"

namespace fuchsiaquay {
namespace {

namespace http = web::http;

constexpr std::size_t max_body_bytes = 262144;
constexpr duration body_timeout = std::chrono::seconds(10);
constexpr const char* bearer = "Bearer ";

std::string header(const http::http_request& message, const char* name) {
    const auto found = message.headers().find(name);
    return found == message.headers().end() ? std::string() : found->second;
}

admin_request make_request(const http::http_request& message, const std::string& body) {
    admin_request request;
    request.method = message.method();
    request.path = web::uri::decode(message.relative_uri().path());
    for (const auto& part : web::uri::split_query(message.relative_uri().query())) {
        request.query[web::uri::decode(part.first)] = web::uri::decode(part.second);
    }
    const std::string authorization = header(message, "Authorization");
    const std::string scheme = bearer;
    if (authorization.compare(0, scheme.size(), scheme) == 0) {
        request.token = authorization.substr(scheme.size());
    }
    request.if_match = header(message, "If-Match");
    request.if_none_match = header(message, "If-None-Match");
    request.body = body;
    return request;
}

void send_answer(const http::http_request& message, const admin_reply& reply) {
    http::http_response response(static_cast<http::status_code>(reply.status));
    for (const auto& [name, value] : reply.headers) {
        response.headers().add(name, value);
    }
    response.set_body(reply.body, "application/json");
    // The operator may have gone; that is no error here.
    message.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) {
            return;
        }
    });
}

}  // namespace

void admin_listener::handle(const http::http_request& message) {
    read_limited_body(loop_, message, max_body_bytes, body_timeout,
                      [this, message](body_outcome outcome, const std::string& body) {
                          if (outcome != body_outcome::complete) {
                              send_answer(message, admin_reply{400, {}, R"({"error":{"code":)"
                                                                        R"("bad_body","message":)"
                                                                        R"("the body is too large )"
                                                                        R"(or broken","executed":)"
                                                                        R"("no"}})"});
                              return;
                          }
                          loop_.post([this, message, body] {
                              api_.handle(make_request(message, body),
                                          [message](const admin_reply& reply) {
                                              send_answer(message, reply);
                                          });
                          });
                      });
}

}  // namespace fuchsiaquay
