#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Monotonic time for threads of the HTTP library, on the same clock as the control loop.
inline instant monotonic_now() {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since_start));
}

}  // namespace fuchsiaquay
