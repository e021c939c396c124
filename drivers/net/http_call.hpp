#pragma once

#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// One call of an HTTP interface with a small answer.
struct http_call {
    std::string method;
    /// Path and query.
    std::string target;
    /// JSON text; empty for none.
    std::string body;
    /// Longest wait for the whole answer.
    duration timeout{};
};

}  // namespace fuchsiaquay
