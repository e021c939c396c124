#include "drivers/engine/engine_call.hpp"

#include <cpprest/http_client.h>

#include <mutex>
#include <utility>

#include "core/error/operation_error.hpp"
#include "drivers/engine/engine_call_listener.hpp"
#include "drivers/engine/engine_outcome.hpp"
#include "drivers/engine/stream_parser.hpp"
#include "drivers/http/body_reader.hpp"
#include "drivers/http/monotonic_now.hpp"

namespace fuchsiaquay {

namespace json = web::json;
namespace http = web::http;

namespace {

std::string request_body(const engine_request& request) {
    json::value body = json::value::object();
    body["model"] = json::value::string(request.model);
    body["prompt"] = json::value::string(*request.prompt);
    body["max_tokens"] = json::value::number(request.max_tokens);
    body["stream"] = json::value::boolean(true);
    body["priority"] = json::value::number(request.priority);
    body["stream_id"] = json::value::string(request.stream_id);
    body["resume_from"] = json::value::number(request.resume_from);
    std::vector<json::value> parts;
    for (const plan_part& part : request.parts) {
        json::value entry = json::value::object();
        entry["engine"] =
            json::value::string(part.target.address + ":" + std::to_string(part.target.port));
        entry["stream_id"] = json::value::string(part.grant.value());
        entry["tokens"] = json::value::number(part.prompt_tokens);
        parts.push_back(entry);
    }
    if (!parts.empty()) {
        body["kv_parts"] = json::value::array(parts);
    }
    return body.serialize();
}

std::string failure_of_status(const http::http_response& response) {
    constexpr http::status_code unavailable = 503;
    if (response.status_code() == unavailable) {
        return "out_of_memory";
    }
    return "status_" + std::to_string(response.status_code());
}

}  // namespace

class engine_call::state {
public:
    state(const engine_request& request, std::shared_ptr<engine_call_listener> listener)
        : listener_(std::move(listener)), parser_(request.stream_id, request.resume_from) {}

    std::mutex mutex_;
    std::shared_ptr<engine_call_listener> listener_;
    stream_parser parser_;
    pplx::cancellation_token_source cancellation_;
    std::shared_ptr<http::client::http_client> client_;
    instant deadline_ = instant::max();
    bool response_started_ = false;
    bool ended_ = false;
    bool must_drop_connection_ = false;
    std::string end_reason_;
};

engine_call::engine_call(const engine_request& request,
                         std::shared_ptr<engine_call_listener> listener)
    : request_(request), state_(std::make_unique<state>(request, std::move(listener))) {}

engine_call::~engine_call() = default;

void engine_call::start(const std::shared_ptr<http::client::http_client>& client) {
    state_->client_ = client;
    state_->deadline_ = monotonic_now() + request_.first_token_timeout;
    http::http_request message(http::methods::POST);
    message.set_request_uri("/v1/completions");
    message.set_body(request_body(request_), "application/json");
    auto self = shared_from_this();
    client->request(message, state_->cancellation_.get_token())
        .then([self, client](const pplx::task<http::http_response>& answered) {
            http::http_response response;
            try {
                response = answered.get();
            } catch (const http::http_exception& error) {
                const bool refused = error.error_code() == std::errc::host_unreachable;
                self->fail(refused ? "connect" : "broken");
                return;
            } catch (const std::exception&) {
                self->fail("broken");
                return;
            }
            if (response.status_code() != http::status_codes::OK) {
                self->fail(failure_of_status(response));
                return;
            }
            body_reader::read(
                response.body(),
                [self, client](const std::string& bytes) {
                    self->on_data(bytes);
                    return true;
                },
                [self](const std::string& failure) {
                    self->fail(failure.empty() ? "closed" : "broken");
                });
        });
}

void engine_call::on_data(const std::string& bytes) {
    std::vector<token_event> events;
    engine_outcome outcome;
    {
        const std::lock_guard<std::mutex> lock(state_->mutex_);
        if (state_->ended_) {
            return;
        }
        state_->response_started_ = true;
        events = state_->parser_.feed(bytes);
        if (!events.empty()) {
            state_->deadline_ = monotonic_now() + request_.stall_timeout;
        }
        outcome.completed = state_->parser_.done();
        outcome.prompt_tokens = state_->parser_.prompt_tokens();
        outcome.completion_tokens = state_->parser_.completion_tokens();
        outcome.cached_tokens = state_->parser_.cached_tokens();
    }
    if (!events.empty()) {
        state_->listener_->on_tokens(events);
    }
    if (outcome.completed) {
        outcome.ran = execution::yes;
        finish(outcome);
    }
}

void engine_call::finish(const engine_outcome& outcome) {
    {
        const std::lock_guard<std::mutex> lock(state_->mutex_);
        if (state_->ended_) {
            return;
        }
        state_->ended_ = true;
    }
    state_->listener_->on_end(outcome);
}

void engine_call::fail(const std::string& failure) {
    engine_outcome outcome;
    {
        const std::lock_guard<std::mutex> lock(state_->mutex_);
        if (state_->ended_) {
            return;
        }
        outcome.failure = state_->end_reason_.empty() ? failure : state_->end_reason_;
        const bool refused = outcome.failure == "connect" || outcome.failure == "out_of_memory";
        outcome.ran = refused && !state_->response_started_ ? execution::no : execution::maybe;
        state_->must_drop_connection_ = failure != "out_of_memory";
    }
    finish(outcome);
}

void engine_call::cancel() {
    {
        const std::lock_guard<std::mutex> lock(state_->mutex_);
        if (state_->ended_) {
            return;
        }
        state_->end_reason_ = "cancelled";
    }
    state_->cancellation_.cancel();
    cancel_stream();
    fail("cancelled");
}

void engine_call::cancel_stream() {
    // If only the connection is closed, the engine keeps the stream until a write to it fails.
    const std::shared_ptr<http::client::http_client> client = state_->client_;
    if (!client) {
        return;
    }
    const std::string path = "/v1/streams/" + web::uri::encode_data_string(request_.stream_id);
    client->request(http::methods::DEL, path)
        .then([client](const pplx::task<http::http_response>& answer) {
            try {
                answer.wait();
            } catch (const std::exception&) {
                // Ignored: the owner of the engine cancels streams that have no grant.
            }
        });
}

bool engine_call::check_timeout(instant now) {
    {
        const std::lock_guard<std::mutex> lock(state_->mutex_);
        if (state_->ended_) {
            return true;
        }
        if (now < state_->deadline_) {
            return false;
        }
        state_->end_reason_ = "stalled";
    }
    state_->cancellation_.cancel();
    fail("stalled");
    return true;
}

bool engine_call::must_drop_connection() const {
    const std::lock_guard<std::mutex> lock(state_->mutex_);
    return state_->must_drop_connection_;
}

}  // namespace fuchsiaquay
