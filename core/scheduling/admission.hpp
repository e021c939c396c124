#pragma once

#include "core/scheduling/queued_request.hpp"

namespace fuchsiaquay {

/// Tells a queue policy whether the upstream can take a request now.
class admission {
public:
    admission() = default;
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    virtual ~admission() = default;

    /// True when memory and backlog allow `queued` at `engine_priority`.
    /// @param floor_due  the level of the request is served less than its floor
    virtual bool fits(const queued_request& queued, int engine_priority, bool floor_due) const = 0;
};

}  // namespace fuchsiaquay
