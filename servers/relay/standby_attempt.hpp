#pragma once

#include <cstdint>
#include <memory>

#include "core/placement/placement_decision.hpp"
#include "core/relay/event_splitter.hpp"
#include "servers/relay/request_work.hpp"

namespace fuchsiaquay {

class upstream_attempt;

/// An attempt whose upstream fell silent, kept open while another upstream is tried: the first one
/// to deliver is used, and a failure of the other one to answer does not end the request.
struct standby_attempt {
    std::unique_ptr<upstream_attempt> attempt;
    placement_decision decision;
    /// Load at the engines of the attempt.
    request_work work;
    std::uint64_t work_key = 0;
    /// Attempt number, starting at 1.
    int number = 1;
    /// Events that the caller received before, and the incomplete one after them.
    event_splitter events;
};

}  // namespace fuchsiaquay
