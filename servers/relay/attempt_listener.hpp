#pragma once

#include <string>
#include <string_view>

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

class upstream_attempt;

/// Receives the events of attempts. Every callback may destroy the attempt that it names.
class attempt_listener {
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    virtual ~attempt_listener() = default;

    /// Receives body bytes of a streamed response with a success status.
    virtual void on_stream_bytes(upstream_attempt& from, std::string_view bytes) = 0;
    /// Called when the upstream's response is complete.
    virtual void on_response_complete(upstream_attempt& from) = 0;
    /// After `attempt_outcome::failed` the upstream's own response continues to arrive. After any
    /// other outcome there are no further callbacks.
    virtual void on_attempt_failed(upstream_attempt& from, attempt_outcome outcome,
                                   const std::string& reason) = 0;
};

}  // namespace fuchsiaquay
