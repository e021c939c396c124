#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// How a request ended, for the log.
struct request_result {
    const char* outcome = "";
    /// Status that the caller got; 0 when it got none.
    int status = 0;
    std::string reason;
    /// What led to it; empty where the reason says all.
    std::string detail;
    /// Upstream of the last attempt.
    std::string upstream;
    int attempts = 0;
    bool may_have_run = false;
    std::int64_t events = 0;
};

}  // namespace fuchsiaquay
