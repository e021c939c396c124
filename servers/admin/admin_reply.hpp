#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

/// Answer of the administration API. The body is JSON.
struct admin_reply {
    int status = 200;
    /// Headers besides the content type: `ETag`, `Retry-After`.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

}  // namespace fuchsiaquay
