#pragma once

#include <string>
#include <vector>

#include "core/messages/reserve_reply.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How a reservation ended.
struct routing_outcome {
    bool granted = false;
    /// The grants to use, one for each part, in the order of the parts.
    std::vector<reserve_reply> grants;
    /// Set when not granted.
    duration retry_after{};
    std::string reason;
};

}  // namespace fuchsiaquay
