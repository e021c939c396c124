#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

/// Response of the administration API. The body is JSON.
struct admin_reply {
    int status = 200;
    /// Headers other than the content type: `ETag` and `Retry-After`.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

}  // namespace fuchsiaquay
