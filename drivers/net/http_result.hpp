#pragma once

#include <string>

#include "core/relay/header_field.hpp"

namespace fuchsiaquay {

/// Result of an `http_call`. `failure` is empty when a response arrived, whatever its status.
struct http_result {
    std::string failure;
    int status = 0;
    header_list headers;
    std::string body;
};

}  // namespace fuchsiaquay
