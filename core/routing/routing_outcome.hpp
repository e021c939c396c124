#pragma once

#include <string>
#include <vector>

#include "core/messages/reserve_reply.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Result of a reservation.
struct routing_outcome {
    bool granted = false;
    /// One grant for each part, in the order of the parts.
    std::vector<reserve_reply> grants;
    /// Set when not granted.
    duration retry_after{};
    std::string reason;
};

}  // namespace fuchsiaquay
