#include "tests/stand_ins/support/http_server.hpp"

#include <csignal>
#include <iostream>

namespace fuchsiaquay::stand_ins {

namespace {

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void handle(web::http::http_request request, const request_handler& handler) {
    request.extract_string(true).then([request, handler](const pplx::task<std::string>& read) {
        try {
            handler(request, read.get());
        } catch (const std::exception& error) {
            reply_error(request, web::http::status_codes::BadRequest, error.what());
        }
    });
}

}  // namespace

void block_stop_signals() {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int serve(const options& settings, const request_handler& handler) {
    web::http::experimental::listener::http_listener listener("http://" + settings.text("address") +
                                                              ":" + settings.text("port") + "/");
    listener.support(
        [handler](const web::http::http_request& request) { handle(request, handler); });
    try {
        listener.open().wait();
    } catch (const std::exception& error) {
        std::cerr << "cannot listen: " << error.what() << '\n';
        return 1;
    }
    std::cout << "ready" << std::endl;
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    // Open streams would block an orderly shutdown, and there is no state to save.
    std::_Exit(0);
}

web::json::value parse_body(const std::string& body) {
    return body.empty() ? web::json::value::object() : web::json::value::parse(body);
}

std::int64_t number_field(const web::json::value& object, const std::string& name,
                          std::int64_t fallback) {
    if (!object.has_field(name)) {
        return fallback;
    }
    const web::json::value& field = object.at(name);
    if (field.is_string()) {
        return std::stoll(field.as_string());
    }
    return field.is_number() ? field.as_number().to_int64() : fallback;
}

std::string text_field(const web::json::value& object, const std::string& name,
                       const std::string& fallback) {
    return object.has_string_field(name) ? object.at(name).as_string() : fallback;
}

void reply_quietly(const web::http::http_request& request,
                   const web::http::http_response& response) {
    web::http::http_request(request).reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) {
            // The caller has disconnected; there is no receiver for the error.
        }
    });
}

void reply_json(const web::http::http_request& request, int status, const web::json::value& body) {
    web::http::http_response response(static_cast<web::http::status_code>(status));
    response.set_body(body);
    reply_quietly(request, response);
}

void reply_error(const web::http::http_request& request, int status, const std::string& code) {
    web::json::value error;
    error["error"]["code"] = web::json::value::string(code);
    error["error"]["message"] = web::json::value::string(code);
    reply_json(request, status, error);
}

}  // namespace fuchsiaquay::stand_ins
