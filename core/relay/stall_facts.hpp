#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What decides how long an upstream may be silent.
struct stall_facts {
    bool streams = false;
    /// The prompt has been sent and no event has come.
    bool reading = false;
    duration target{};
    duration timeout{};
    duration target_gap{};
    /// Estimated time until the first event.
    duration expected_first{};
    /// Time to read the whole prompt on one engine; zero for plain services.
    duration whole_read{};
};

}  // namespace fuchsiaquay
