#include "drivers/admin/admin_endpoint.hpp"

#include <cpprest/http_msg.h>

#include <optional>
#include <string>
#include <utility>

#include "drivers/admin/admin_api.hpp"
#include "drivers/admin/admin_json.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/http/http_headers.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/http/limited_body.hpp"
#include "servers/admin/admin_reply.hpp"
#include "servers/admin/admin_request.hpp"

namespace fuchsiaquay {

namespace http = web::http;

namespace {

/// Large enough for a contract, the largest body that operators send.
constexpr std::size_t max_admin_body_bytes = 262'144;
constexpr duration admin_body_timeout = std::chrono::seconds(10);

void send_reply(const http::http_request& message, const admin_reply& reply) {
    http::http_response response(static_cast<http::status_code>(reply.status));
    for (const auto& [name, value] : reply.headers) {
        response.headers().add(name, value);
    }
    response.set_body(reply.body, "application/json");
    message.reply(response).then([](const pplx::task<void>& replied) {
        try {
            replied.get();
        } catch (const std::exception&) {
            // The operator has disconnected. The change remains in effect and can be read later.
        }
    });
}

void refuse_body(const http::http_request& message) {
    admin_reply reply;
    reply.status = http::status_codes::RequestEntityTooLarge;
    reply.body =
        R"({"error":{"code":"body_refused","message":"the body is too large or too slow"}})";
    send_reply(message, reply);
}

void refuse_target(const http::http_request& message) {
    send_reply(message, error_reply(status_bad_request, "malformed_target",
                                    "the path or query has a malformed escape"));
}

}  // namespace

std::optional<admin_request> read_admin_request(const http::http_request& message,
                                                const std::string& body) {
    admin_request request;
    request.method = message.method();
    try {
        request.path = web::uri::decode(message.relative_uri().path());
        for (const auto& [name, value] : web::uri::split_query(message.relative_uri().query())) {
            request.query[web::uri::decode(name)] = web::uri::decode(value);
        }
    } catch (const web::uri_exception&) {
        return std::nullopt;
    }
    request.token = bearer_token_of(message);
    request.if_match = header_of(message, "If-Match");
    request.if_none_match = header_of(message, "If-None-Match");
    request.body = body;
    return request;
}

void add_admin_route(http_server& server, control_loop& loop, admin_api& api) {
    server.route("/admin/v1", [&loop, &api](const http::http_request& message) {
        read_limited_body(loop, message, max_admin_body_bytes, admin_body_timeout,
                          [&loop, &api, message](body_outcome outcome, const std::string& body) {
                              if (outcome != body_outcome::complete) {
                                  refuse_body(message);
                                  return;
                              }
                              const auto request = read_admin_request(message, body);
                              if (!request) {
                                  refuse_target(message);
                                  return;
                              }
                              loop.post([&api, message, request] {
                                  api.handle(*request, [message](const admin_reply& reply) {
                                      send_reply(message, reply);
                                  });
                              });
                          });
    });
}

}  // namespace fuchsiaquay
