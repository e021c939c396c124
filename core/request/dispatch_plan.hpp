#pragma once

#include <cstdint>
#include <vector>

#include "core/identity/names.hpp"
#include "core/request/plan_part.hpp"
#include "core/time/clock.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Where and how one attempt of a request goes.
struct dispatch_plan {
    upstream target;
    /// Parts held by other engines, in the order of the prompt; the target holds the rest. Empty
    /// unless the prompt is larger than one engine.
    std::vector<plan_part> parts;
    /// Grant at the owner of the upstream and stream id at the engine; empty for services.
    grant_id grant;
    /// Rank level of the request.
    int level = 0;
    /// Priority at the engine, 0 is the most urgent.
    int priority = 0;
    /// Offset of the first token wanted from the engine.
    std::int64_t resume_offset = 0;
    /// The attempt must have ended by then.
    instant deadline{};
    /// The attempt must not start later than this.
    instant grant_expiry{};
};

}  // namespace fuchsiaquay
