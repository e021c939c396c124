#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Properties of a request that determine its stall timeout.
struct stall_conditions {
    bool is_stream = false;
    /// The prompt has been sent and no event has arrived.
    bool awaiting_first_event = false;
    duration target{};
    duration timeout{};
    duration target_gap{};
    /// Estimated time until the first event.
    duration expected_first_event{};
    /// Prefill time of the whole prompt on one engine; zero for plain services.
    duration full_prefill_time{};
};

}  // namespace fuchsiaquay
