#include "tests/scenarios/runner/http_calls.hpp"

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>

#include <atomic>

#include "tests/stand_ins/support/delayed_tasks.hpp"

namespace fuchsiaquay::scenarios {

namespace {

namespace http = web::http;

constexpr int ok = 200;

/// Shared timer for the time limits of all calls.
stand_ins::delayed_tasks& limits() {
    static stand_ins::delayed_tasks tasks;
    return tasks;
}

/// Cancels a call when its time limit expires.
class call_limit {
public:
    explicit call_limit(std::chrono::milliseconds limit) {
        const auto state = state_;
        limits().run_after(limit, [state] {
            state->over = true;
            state->source.cancel();
        });
    }

    pplx::cancellation_token token() const { return state_->source.get_token(); }
    bool over() const { return state_->over; }

private:
    struct shared_state {
        pplx::cancellation_token_source source;
        std::atomic<bool> over{false};
    };
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

http::http_request make_request(const http_request_options& options) {
    http::http_request request(options.method);
    request.set_request_uri(options.path);
    for (const auto& [name, value] : options.headers) {
        request.headers().add(name, value);
    }
    if (!options.body.empty()) {
        request.set_body(options.body, "application/json");
    }
    return request;
}

void read_lines(const http::http_response& response, http_reply& reply,
                const std::function<void(const std::string&)>& on_line) {
    auto stream = response.body();
    for (;;) {
        concurrency::streams::container_buffer<std::string> line;
        const std::size_t length = stream.read_to_delim(line, '\n').get();
        std::string text = line.collection();
        reply.body += text + "\n";
        if (!text.empty()) {
            on_line(text);
        }
        if (length == 0 && stream.is_eof()) {
            return;
        }
    }
}

void run(const http_request_options& options, const call_limit& limit, http_reply& reply,
         const std::function<void(const std::string&)>& on_line) {
    http::client::http_client_config config;
    config.set_timeout(options.limit);
    http::client::http_client client("http://127.0.0.1:" + std::to_string(options.port), config);
    const http::http_response response = client.request(make_request(options), limit.token()).get();
    reply.status = response.status_code();
    for (const auto& [name, value] : response.headers()) {
        reply.headers[name] = value;
    }
    if (on_line && reply.status == ok) {
        read_lines(response, reply, on_line);
    } else {
        reply.body = response.extract_utf8string(true).get();
    }
}

http_reply call(const http_request_options& options,
                const std::function<void(const std::string&)>& on_line) {
    http_reply reply;
    const call_limit limit(options.limit);
    try {
        run(options, limit, reply, on_line);
    } catch (const http::http_exception& error) {
        reply.error = error.what();
        reply.unreachable = reply.status == 0 && error.error_code() == std::errc::host_unreachable;
        reply.timed_out = limit.over() || error.error_code() == std::errc::timed_out;
    } catch (const std::exception& error) {
        reply.error = error.what();
        reply.timed_out = limit.over();
    }
    return reply;
}

}  // namespace

http_reply call_http(const http_request_options& options) {
    return call(options, nullptr);
}

http_reply stream_http(const http_request_options& options,
                       const std::function<void(const std::string& line)>& on_line) {
    return call(options, on_line);
}

}  // namespace fuchsiaquay::scenarios
