#pragma once

#include <string>

namespace fuchsiaquay {

/// Stored answer to an earlier call with the same idempotency key.
struct recorded_answer {
    /// HTTP status.
    int status = 0;
    std::string content_type;
    std::string body;
};

}  // namespace fuchsiaquay
