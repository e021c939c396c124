#pragma once

#include <string>
#include <string_view>

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

/// Receives the events of an attempt. Every callback may destroy the attempt.
class attempt_listener {
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    virtual ~attempt_listener() = default;

    /// Receives body bytes of a streamed response with a success status.
    virtual void on_stream_bytes(std::string_view bytes) = 0;
    /// Called when the upstream's response is complete.
    virtual void on_response_complete() = 0;
    /// After `attempt_outcome::failed` the upstream's own response continues to arrive. After any
    /// other outcome there are no further callbacks.
    virtual void on_attempt_failed(attempt_outcome outcome, const std::string& reason) = 0;
};

}  // namespace fuchsiaquay
