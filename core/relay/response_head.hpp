#pragma once

#include <string>

#include "core/relay/header_field.hpp"

namespace fuchsiaquay {

/// Status line and end-to-end headers of a response.
struct response_head {
    int status = 0;
    std::string reason;
    header_list headers;
};

}  // namespace fuchsiaquay
