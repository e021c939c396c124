#pragma once

#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A serving host as reported by another serving host.
struct reported_host {
    host_record record;
    host_state state = host_state::unready;
    /// Time since its last announcement.
    duration age{};
};

}  // namespace fuchsiaquay
