#pragma once

#include <memory>

#include "core/relay/caller_request.hpp"
#include "servers/relay/caller_check.hpp"

namespace fuchsiaquay {

class active_request;
class response_sink;

/// Serves requests of callers.
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /// Starts serving `request`. The response is sent to `sink` exactly once, possibly before this
    /// function returns.
    /// @param sink  must outlive the returned request
    virtual std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) = 0;
    /// Checks the caller of a request whose body has not arrived.
    virtual caller_check check_caller(const caller_request& head) const = 0;
};

}  // namespace fuchsiaquay
