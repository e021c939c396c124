#include "ctl/console/http_admin_channel.hpp"

#include <cpprest/http_client.h>

#include <system_error>
#include <utility>

#include "drivers/http/make_http_client.hpp"

namespace fuchsiaquay {
namespace {

/// True when the connection failed before anything was sent.
bool never_sent(const std::error_code& code) {
    return code == std::errc::connection_refused || code == std::errc::host_unreachable ||
           code == std::errc::network_unreachable;
}

bool is_framed(const web::http::http_response& answer) {
    return answer.headers().has(web::http::header_names::content_length) ||
           answer.headers().has(web::http::header_names::transfer_encoding);
}

}  // namespace

http_admin_channel::http_admin_channel(std::vector<std::string> nodes, std::string token,
                                       int timeout_s)
    : nodes_(std::move(nodes)), token_(std::move(token)), timeout_s_(timeout_s) {}

admin_channel::response http_admin_channel::send(const call& call) {
    if (!call.node.empty()) {
        return send_to(call.node, call);
    }
    response last;
    last.failure = "no node given; use --node or FUCHSIAQUAY_NODES";
    for (const std::string& node : nodes_) {
        last = send_to(node, call);
        const bool answered =
            last.status != 0 && last.status != web::http::status_codes::ServiceUnavailable;
        if (answered || (last.in_doubt && !call.idempotent)) {
            return last;
        }
    }
    return last;
}

admin_channel::response http_admin_channel::send_to(const std::string& node,
                                                    const call& call) const {
    response result;
    try {
        web::http::client::http_client_config config;
        config.set_timeout(std::chrono::seconds(timeout_s_));
        const auto client = make_http_client("http://" + node, config);
        web::http::http_request request(call.method);
        request.set_request_uri("/admin/v1" + call.path);
        request.headers().add("Authorization", "Bearer " + token_);
        for (const auto& [name, value] : call.headers) {
            request.headers().add(name, value);
        }
        if (!call.body.empty()) {
            request.set_body(call.body, "application/json");
        }
        const web::http::http_response answer = client->request(request).get();
        const std::string body = answer.extract_utf8string(true).get();
        if (!is_framed(answer)) {
            // The connection may have ended before the answer did.
            throw web::http::http_exception("answer without a length");
        }
        result.status = answer.status_code();
        result.body = body;
        const auto etag = answer.headers().find("ETag");
        result.etag = etag == answer.headers().end() ? "" : etag->second;
    } catch (const web::http::http_exception& error) {
        result.failure = node + ": " + error.what();
        result.in_doubt = call.method != "GET" && !never_sent(error.error_code());
    } catch (const std::exception& error) {
        result.failure = node + ": " + error.what();
    }
    return result;
}

}  // namespace fuchsiaquay
