#pragma once

#include <string>

namespace fuchsiaquay {

/// Result of an `http_call`. `failure` is empty when a response arrived, whatever its status.
struct http_result {
    std::string failure;
    int status = 0;
    std::string body;
};

}  // namespace fuchsiaquay
