#pragma once

#include <map>
#include <string>

namespace fuchsiaquay::scenarios {

/// Reply of one HTTP call.
struct http_reply {
    /// 0 where no reply came.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Why there is no whole reply; empty where there is one.
    std::string error;
    /// The connection could not be opened.
    bool unreachable = false;
    /// The caller's time was over.
    bool timed_out = false;
};

}  // namespace fuchsiaquay::scenarios
