#pragma once

/// @file
/// HTTP server functions that the stand-ins share. Includes cpprestsdk; tests/stand_ins only.

#include <cpprest/http_listener.h>
#include <cpprest/json.h>

#include <functional>
#include <string>

#include "tests/stand_ins/support/options.hpp"

namespace fuchsiaquay::stand_ins {

/// Handles one request whose body is already read. Must not block.
using request_handler =
    std::function<void(const web::http::http_request& request, const std::string& body)>;

/// Serves on `--address` and `--port`, prints `ready` when listening and returns at SIGTERM or
/// SIGINT. Call `block_stop_signals` before any thread starts.
int serve(const options& settings, const request_handler& handler);

/// Blocks the stop signals in this thread and in all threads that it starts later.
void block_stop_signals();

/// Parses `body`; an empty body is an empty object. Throws web::json::json_exception.
web::json::value parse_body(const std::string& body);

/// Field of an object as a number, whether it came as a number or as text (as the gateway does).
std::int64_t number_field(const web::json::value& object, const std::string& name,
                          std::int64_t fallback = 0);

/// Text field of an object, or `fallback` if it is absent.
std::string text_field(const web::json::value& object, const std::string& name,
                       const std::string& fallback = "");

/// Sends a JSON reply; ignores a caller that has disconnected.
void reply_json(const web::http::http_request& request, int status, const web::json::value& body);

/// Sends a prepared reply; ignores a caller that has disconnected.
void reply_quietly(const web::http::http_request& request,
                   const web::http::http_response& response);

/// Sends `{"error":{"code":...}}`.
void reply_error(const web::http::http_request& request, int status, const std::string& code);

}  // namespace fuchsiaquay::stand_ins
