#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Changing values that `upstream_admission` decides by.
struct admission_state {
    /// Tokens a second that the engine can prefill beside its decoding streams.
    double prefill_speed = 0.0;
    /// Short work that may still be granted beside a long prefill, in tokens.
    double short_allowance = 0.0;
    instant now{};
    bool rebuilding = false;
    /// Memory granted since the rebuild began, in tokens.
    std::int64_t rebuild_granted = 0;
};

}  // namespace fuchsiaquay
