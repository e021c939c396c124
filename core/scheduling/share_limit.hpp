#pragma once

#include "core/scheduling/share_standing.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What the share of its account means for a request that no upstream has seen, while the engines
/// of the service are short.
enum class share_verdict {
    /// The request competes for the engines.
    admit,
    /// The share becomes free early enough for the request.
    wait,
    /// The request would be late even if nothing but its share kept it waiting.
    refuse,
};

/// @param needed_time  time from the dispatch to the first event on an idle engine
/// @param time_left  time until the first event is late
share_verdict limit_to_share(const share_standing& standing, duration needed_time,
                             duration time_left);

}  // namespace fuchsiaquay
