#include "drivers/api/caller_api.hpp"

#include <cpprest/json.h>

#include <algorithm>
#include <utility>

#include "core/contract/contract.hpp"
#include "core/directory/entrypoint_answer.hpp"
#include "core/hashing/hash.hpp"
#include "core/hashing/prefix_hashes.hpp"
#include "core/request/refusal.hpp"
#include "drivers/api/api_limits.hpp"
#include "drivers/api/bad_request.hpp"
#include "drivers/api/completion_session.hpp"
#include "drivers/api/event_id.hpp"
#include "drivers/api/http_reply.hpp"
#include "drivers/api/service_session.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/crypto/digest.hpp"
#include "drivers/http/http_headers.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/http/limited_body.hpp"
#include "drivers/http/monotonic_now.hpp"
#include "servers/directory/entrypoint_source.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/views/contract_view.hpp"

namespace fuchsiaquay {

namespace http = web::http;
namespace json = web::json;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_request_timeout = 408;
constexpr int status_too_large = 413;
constexpr std::string_view service_prefix = "/v1/services/";

/// Digest of the caller's key. Empty if the request has no key; an empty digest matches no
/// contract.
std::string key_digest(const http::http_request& message) {
    const std::string key = bearer_token_of(message);
    return key.empty() ? "" : sha256_hex(key);
}

void reject(const http::http_request& message, int status, const std::string& code,
            const std::string& text) {
    refusal reason;
    reason.status = status;
    reason.code = code;
    reason.message = text;
    reply_refusal(message, reason);
}

/// Returns true if the body was read completely; otherwise replies with an error.
bool accept_body(const http::http_request& message, body_outcome outcome) {
    switch (outcome) {
        case body_outcome::complete:
            return true;
        case body_outcome::too_large:
            reject(message, status_too_large, "body_too_large", "the body is over the limit");
            return false;
        case body_outcome::too_slow:
            reject(message, status_request_timeout, "body_too_slow",
                   "the body did not arrive in time");
            return false;
        case body_outcome::broken:
            reject(message, status_bad_request, "body_broken", "the body ended early");
            return false;
    }
    return false;
}

std::string entrypoints_body(const entrypoint_answer& answer) {
    std::vector<json::value> hosts;
    for (const entrypoint& item : answer.hosts) {
        json::value host = json::value::object();
        host["host"] = json::value::string(item.host.value());
        host["address"] = json::value::string(item.address);
        host["port"] = json::value::number(item.http_port);
        hosts.push_back(host);
    }
    json::value body = json::value::object();
    body["entrypoints"] = json::value::array(hosts);
    body["keep_for_ms"] = json::value::number(to_milliseconds(answer.max_age));
    return body.serialize();
}

}  // namespace

caller_api::caller_api(api_services services, const contract_view& contracts,
                       const entrypoint_source& entrypoints, std::string id_prefix)
    : services_(std::move(services)),
      contracts_(contracts),
      entrypoints_(entrypoints),
      id_prefix_(std::move(id_prefix)) {}

caller_api::~caller_api() = default;

void caller_api::add_routes(http_server& server) {
    auto self = shared_from_this();
    server.route("/v1/completions",
                 [self](const auto& message) { self->serve_completion(message, false); });
    server.route("/v1/chat/completions",
                 [self](const auto& message) { self->serve_completion(message, true); });
    server.route(std::string(service_prefix),
                 [self](const auto& message) { self->serve_service(message); });
    server.route("/v1/entrypoints",
                 [self](const auto& message) { self->serve_entrypoints(message); });
}

std::string caller_api::next_request_id() {
    return id_prefix_ + "-" + std::to_string(++last_request_);
}

void caller_api::serve_completion(const http::http_request& message, bool chat) {
    auto self = shared_from_this();
    read_limited_body(services_.loop, message, services_.limits.max_body_bytes,
                      services_.limits.body_timeout,
                      [self, message, chat](body_outcome outcome, const std::string& text) {
                          if (accept_body(message, outcome)) {
                              self->begin_completion(message, chat, text);
                          }
                      });
}

void caller_api::begin_completion(const http::http_request& message, bool chat,
                                  const std::string& text) {
    completion_body body;
    try {
        body = parse_completion(text, chat, services_.limits);
    } catch (const bad_request& error) {
        reject(message, error.status(), error.code(), error.what());
        return;
    }
    request_context context;
    context.id = request_id(next_request_id());
    context.kind = request_kind::completion;
    context.key_digest = key_digest(message);
    context.rank_name = header_of(message, "X-Rank");
    context.model = model_id(body.model);
    context.prompt_tokens = estimate_prompt_tokens(*body.prompt);
    context.max_tokens = body.max_tokens;
    context.prefix_hashes = prefix_hashes(*body.prompt);
    context.arrived = monotonic_now();
    const std::string request_digest = sha256_hex(context.key_digest + body.model + *body.prompt);
    const std::string last_event = header_of(message, "Last-Event-ID");
    if (!last_event.empty()) {
        const auto offset = parse_event_id(services_.cluster_key, request_digest, last_event);
        if (!offset) {
            reject(message, status_bad_request, "bad_event_id",
                   "Last-Event-ID: allowed: an event id of this very request");
            return;
        }
        context.resume_offset = *offset + 1;
    }
    completion_formatter format(context.id.value(), body.model, chat, services_.cluster_key,
                                request_digest);
    auto session = std::make_shared<completion_session>(services_, message, std::move(body),
                                                        std::move(format));
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        sessions_.push_back(session);
    }
    session->begin(std::make_shared<request_flow>(std::move(context), session));
}

void caller_api::serve_service(const http::http_request& message) {
    auto self = shared_from_this();
    read_limited_body(services_.loop, message, services_.limits.max_body_bytes,
                      services_.limits.body_timeout,
                      [self, message](body_outcome outcome, const std::string& body) {
                          if (accept_body(message, outcome)) {
                              self->begin_service(message, body);
                          }
                      });
}

void caller_api::begin_service(const http::http_request& message, const std::string& body) {
    const std::string target = message.relative_uri().to_string().substr(service_prefix.size());
    const std::size_t name_end = std::min(target.find_first_of("/?"), target.size());
    request_context context;
    context.id = request_id(next_request_id());
    context.kind = request_kind::service_call;
    context.key_digest = key_digest(message);
    context.rank_name = header_of(message, "X-Rank");
    context.service = service_id(target.substr(0, name_end));
    context.idempotency_key = header_of(message, "Idempotency-Key");
    context.arrived = monotonic_now();
    std::string path = target.substr(name_end);
    if (path.empty() || path.front() != '/') {
        path.insert(0, "/");
    }
    context.body_fingerprint = stable_hash(body, stable_hash(message.method() + "\n" + target));
    auto session = std::make_shared<service_session>(services_, message, std::move(path), body);
    session->begin(std::make_shared<request_flow>(std::move(context), session));
}

void caller_api::serve_entrypoints(const http::http_request& message) {
    auto self = shared_from_this();
    const std::string digest = key_digest(message);
    services_.loop.post([self, message, digest] {
        const std::shared_ptr<const contract> terms = self->contracts_.find_by_key(digest);
        if (!terms) {
            reject(message, status_unauthorized, "unknown_key",
                   "no contract holds this caller key");
            return;
        }
        reply_json(message, http::status_codes::OK,
                   entrypoints_body(self->entrypoints_.entrypoints(*terms)));
    });
}

void caller_api::keep_alive(instant now) {
    std::vector<std::weak_ptr<completion_session>> sessions;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        sessions.swap(sessions_);
    }
    std::vector<std::weak_ptr<completion_session>> kept;
    for (const std::weak_ptr<completion_session>& entry : sessions) {
        const std::shared_ptr<completion_session> session = entry.lock();
        if (session && session->keep_alive(now)) {
            kept.push_back(entry);
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    sessions_.insert(sessions_.end(), kept.begin(), kept.end());
}

}  // namespace fuchsiaquay
