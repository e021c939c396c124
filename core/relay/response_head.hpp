#pragma once

#include <string>

#include "core/relay/header_field.hpp"

namespace fuchsiaquay {

/// Status line and end-to-end headers of a response.
struct response_head {
    int status = 0;
    std::string reason;
    header_list headers;
    /// The body has neither a length nor chunks and ends with the connection.
    bool ends_with_connection = false;

    /// What tells the end of the body, for logs and metrics.
    const char* ended_by() const noexcept {
        return ends_with_connection ? "connection" : "framing";
    }
};

}  // namespace fuchsiaquay
