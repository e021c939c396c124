#pragma once

#include <string>

namespace fuchsiaquay {

/// Answer to an `http_call`. `failure` is empty when an answer came, whatever its status.
struct http_result {
    std::string failure;
    int status = 0;
    std::string body;
};

}  // namespace fuchsiaquay
