#pragma once

#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A serving host, as another one heard of it.
struct reported_host {
    host_record record;
    host_state state = host_state::unready;
    /// Time since its last sign of life.
    duration age{};
};

}  // namespace fuchsiaquay
