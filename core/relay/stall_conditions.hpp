#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What decides how long an upstream may be silent.
struct stall_conditions {
    bool is_stream = false;
    /// The prompt has been sent and no event has come.
    bool awaiting_first_event = false;
    duration target{};
    duration timeout{};
    duration target_gap{};
    /// Estimated time until the first event.
    duration expected_first_event{};
    /// Time to read the whole prompt on one engine; zero for plain services.
    duration full_prefill_time{};
};

}  // namespace fuchsiaquay
