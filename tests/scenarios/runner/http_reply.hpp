#pragma once

#include <map>
#include <string>

namespace fuchsiaquay::scenarios {

/// Reply of one HTTP call.
struct http_reply {
    /// 0 if no reply arrived.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Reason why the reply is missing or incomplete; empty for a complete reply.
    std::string error;
    /// The connection could not be opened.
    bool unreachable = false;
    /// The time limit of the call expired.
    bool timed_out = false;
};

}  // namespace fuchsiaquay::scenarios
