#pragma once

#include <string>
#include <string_view>

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

/// Receives what comes of an attempt. It may end the attempt from within each call.
class attempt_listener {
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    virtual ~attempt_listener() = default;

    /// Bytes of a stream that succeeds so far.
    virtual void on_stream_bytes(std::string_view bytes) = 0;
    /// The upstream's answer is whole.
    virtual void on_answered() = 0;
    /// After `attempt_outcome::failed` the upstream's own answer goes on, after others nothing
    /// does.
    virtual void on_attempt_failed(attempt_outcome outcome, const std::string& reason) = 0;
};

}  // namespace fuchsiaquay
