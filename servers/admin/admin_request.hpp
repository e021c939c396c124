#pragma once

#include <map>
#include <string>

namespace fuchsiaquay {

/// A call of the administration API, without HTTP.
struct admin_request {
    /// Upper case.
    std::string method;
    /// Decoded path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    /// Token of the `Authorization: Bearer` header; empty when there is none.
    std::string token;
    /// Headers `If-Match` and `If-None-Match` as sent; empty when absent.
    std::string if_match;
    std::string if_none_match;
    std::string body;
};

}  // namespace fuchsiaquay
