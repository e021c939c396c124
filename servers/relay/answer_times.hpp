#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Times that bound when a response is of use to its caller.
struct answer_times {
    /// Time after which a response is useless.
    instant deadline{};
    /// When the caller sent its request or last received a part of the response. Callers abandon a
    /// stream that stays silent for too long.
    instant silent_since{};
};

}  // namespace fuchsiaquay
