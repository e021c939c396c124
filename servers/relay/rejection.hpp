#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// An error response that this host sends instead of an upstream's response.
struct rejection {
    int status = 0;
    /// Error code, sent to the caller and logged.
    const char* reason = "";
    /// Delay after which the caller should retry; zero if a retry would not help.
    duration retry_after{};
};

}  // namespace fuchsiaquay
