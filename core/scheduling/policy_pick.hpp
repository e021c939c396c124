#pragma once

#include "core/scheduling/queued_request.hpp"

namespace fuchsiaquay {

/// A request taken from the queue, with its priority at the engine (0 is the most urgent).
struct policy_pick {
    queued_request queued;
    int engine_priority = 0;
};

}  // namespace fuchsiaquay
