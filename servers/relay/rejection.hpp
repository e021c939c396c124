#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// An answer of this host in place of an upstream's.
struct rejection {
    int status = 0;
    /// Short name of the cause, for the caller and the log.
    const char* reason = "";
    /// When the caller should come back; zero where that would not help.
    duration retry_after{};
};

}  // namespace fuchsiaquay
