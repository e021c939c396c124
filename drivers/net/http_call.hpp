#pragma once

#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// An HTTP request whose response is small.
struct http_call {
    std::string method;
    /// Path and query.
    std::string target;
    /// JSON text; empty when the request has no body.
    std::string body;
    /// Time limit until the response is complete.
    duration timeout{};
};

}  // namespace fuchsiaquay
