#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Variable state of an upstream on which `upstream_admission` bases its decisions.
struct admission_state {
    /// Tokens per second that the engine can prefill beside its decoding streams.
    double prefill_speed = 0.0;
    /// Short work that may still be granted beside a long prefill, in tokens.
    double short_allowance = 0.0;
    instant now{};
    bool rebuilding = false;
    /// Memory granted since the owner began to rebuild its state, in tokens.
    std::int64_t rebuild_granted = 0;
};

}  // namespace fuchsiaquay
