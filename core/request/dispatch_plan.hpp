#pragma once

#include <cstdint>
#include <vector>

#include "core/identity/names.hpp"
#include "core/request/plan_part.hpp"
#include "core/time/clock.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Target and parameters of one attempt of a request.
struct dispatch_plan {
    upstream target;
    /// Parts of the prompt held by other engines, in prompt order; the target holds the rest. Empty
    /// unless the prompt is larger than one engine's memory.
    std::vector<plan_part> parts;
    /// Grant from the owner of the upstream, also the stream id at the engine; empty for services.
    grant_id grant;
    /// Rank level of the request.
    int level = 0;
    /// Priority at the engine, 0 is the most urgent.
    int priority = 0;
    /// Offset of the first token requested from the engine.
    std::int64_t resume_offset = 0;
    /// Time by which the attempt must have ended.
    instant deadline{};
    /// Latest time at which the attempt may start.
    instant grant_expiry{};
};

}  // namespace fuchsiaquay
