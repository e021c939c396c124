#pragma once

/// @file
/// Includes cpprestsdk headers; include only in .cpp files of the drivers.

#include <cpprest/http_msg.h>

#include <cstddef>
#include <functional>
#include <string>

#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class control_loop;

/// Outcome of reading a request body.
enum class body_outcome { complete, too_large, too_slow, broken };

/// Reads the body of `message` without blocking, at most `max_bytes` within `timeout`. `done` is
/// called once, on any thread.
void read_limited_body(control_loop& loop, const web::http::http_request& message,
                       std::size_t max_bytes, duration timeout,
                       std::function<void(body_outcome, const std::string& body)> done);

}  // namespace fuchsiaquay
