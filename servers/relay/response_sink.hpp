#pragma once

#include <string>
#include <string_view>

#include "core/relay/response_head.hpp"

namespace fuchsiaquay {

/// Sends the response to a request to its caller.
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /// Sends a complete response.
    virtual void send(const response_head& head, std::string body) = 0;
    /// Starts a response of unknown length and sends its first bytes.
    virtual void begin(const response_head& head, std::string_view first) = 0;
    virtual void write(std::string_view bytes) = 0;
    /// Completes a response that was started with `begin`.
    virtual void finish() = 0;
    /// Closes the connection in a way that shows the response to be incomplete.
    virtual void abort() = 0;
};

}  // namespace fuchsiaquay
