#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/placement/engine_work.hpp"
#include "core/placement/slow_engine.hpp"

namespace fuchsiaquay {

/// What a host tells the others: that it lives, its state, and its work at the upstreams.
struct announcement {
    /// Without its addresses unless the announcement is complete.
    host_record sender;
    host_state state = host_state::unready;
    /// Grows with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// Store revision of the sender's configuration; 0 when it has none.
    std::int64_t configuration_revision = 0;
    /// Requests that the sender takes a second; only in complete announcements.
    double requests_per_s = 0.0;
    /// True: `works` is all the work of the sender; false: only what changed.
    bool complete = false;
    /// The receiver passes it on to the other hosts of its data centre.
    bool forward = false;
    /// `dispatched_at` is on the clock of whoever holds the announcement.
    std::vector<engine_work> works;
    /// Engines that the sender's streams show to be slow.
    std::vector<slow_engine> slow_engines;
};

}  // namespace fuchsiaquay
