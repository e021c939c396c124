#pragma once

#include <string>
#include <string_view>

#include "core/relay/response_head.hpp"

namespace fuchsiaquay {

/// The caller's end of a request.
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /// Sends a whole answer.
    virtual void send(const response_head& head, std::string body) = 0;
    /// Begins an answer whose length is not known, with its first bytes.
    virtual void begin(const response_head& head, std::string_view first) = 0;
    virtual void write(std::string_view bytes) = 0;
    /// Ends a begun answer as complete.
    virtual void finish() = 0;
    /// Ends the connection so that no answer looks complete.
    virtual void abort() = 0;
};

}  // namespace fuchsiaquay
