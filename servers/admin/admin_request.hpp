#pragma once

#include <map>
#include <string>

namespace fuchsiaquay {

/// Request to the administration API, independent of the HTTP library.
struct admin_request {
    /// HTTP method in upper case.
    std::string method;
    /// Decoded path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    /// Token of the `Authorization: Bearer` header; empty if there is none.
    std::string token;
    /// Headers `If-Match` and `If-None-Match` as sent; empty if absent.
    std::string if_match;
    std::string if_none_match;
    std::string body;
};

}  // namespace fuchsiaquay
