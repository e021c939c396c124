#pragma once

#include <string>

#include "core/relay/caller_request.hpp"
#include "core/relay/response_head.hpp"
#include "servers/relay/upstream_response.hpp"

namespace fuchsiaquay {

struct upstream_request_metadata;

/// Converts requests and responses from and to the headers and texts of one external interface
/// for callers and upstreams. Contains no other logic.
class request_format {
public:
    request_format() = default;
    request_format(const request_format&) = delete;
    request_format& operator=(const request_format&) = delete;
    virtual ~request_format() = default;

    /// Moves the headers that this interface defines into request fields and keeps the others as
    /// headers.
    virtual caller_request read_request(std::string method, std::string target,
                                        header_list headers) const = 0;
    /// Returns the request line and headers for an upstream, including the blank line.
    virtual std::string write_request(const caller_request& request,
                                      const upstream_request_metadata& metadata) const = 0;
    virtual upstream_response read_response(response_head head) const = 0;
    /// Returns the head of an error response that this host sends with a JSON body.
    /// @param retry_after  delay after which the caller should retry; zero omits it
    virtual response_head make_error_response(int status, duration retry_after,
                                              const std::string& request) const = 0;
};

}  // namespace fuchsiaquay
