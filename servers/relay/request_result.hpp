#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// Result of a request, for the log.
struct request_result {
    const char* outcome = "";
    /// HTTP status that the caller received; 0 if none.
    int status = 0;
    std::string reason;
    /// Cause of the outcome; empty if `reason` is sufficient.
    std::string detail;
    /// Upstream of the last attempt.
    std::string upstream;
    int attempts = 0;
    bool may_have_run = false;
    std::int64_t events = 0;
    /// What tells the end of the upstream's answer; empty if none began.
    const char* answer_end = "";
};

}  // namespace fuchsiaquay
