#pragma once

#include <string>

#include "core/relay/caller_request.hpp"
#include "core/relay/response_head.hpp"
#include "servers/relay/upstream_answer.hpp"

namespace fuchsiaquay {

struct upstream_request_metadata;

/// Header names and texts of one interface towards callers and upstreams. Translates only.
class request_format {
public:
    request_format() = default;
    request_format(const request_format&) = delete;
    request_format& operator=(const request_format&) = delete;
    virtual ~request_format() = default;

    /// Takes over the fields of `headers` that this interface names; the others stay headers.
    virtual caller_request read_request(std::string method, std::string target,
                                        header_list headers) const = 0;
    /// Request line and headers as sent to an upstream, up to the blank line.
    virtual std::string write_request(const caller_request& request,
                                      const upstream_request_metadata& terms) const = 0;
    virtual upstream_answer read_answer(response_head head) const = 0;
    /// Answer of this host: a status, a JSON body that names the error, when to come back.
    /// @param retry_after  zero: not said
    virtual response_head make_error_response(int status, duration retry_after,
                                              const std::string& request) const = 0;
};

}  // namespace fuchsiaquay
