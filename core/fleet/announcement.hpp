#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/limits/rate_limit_notice.hpp"
#include "core/placement/engine_work.hpp"
#include "core/placement/slow_engine.hpp"
#include "core/quarantine/prompt_part_report.hpp"

namespace fuchsiaquay {

/// Heartbeat of a host: its state, its configuration revision and its work at the upstreams.
struct announcement {
    /// The addresses are set only in complete announcements.
    host_record sender;
    host_state state = host_state::unready;
    /// Increases with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// Store revision of the sender's configuration; 0 if it has none.
    std::int64_t configuration_revision = 0;
    /// Requests per second that the sender receives; set only in complete announcements.
    double requests_per_s = 0.0;
    /// If true, `works` is all the work of the sender; otherwise it holds only the changes.
    bool complete = false;
    /// Whether the receiver forwards it to the other hosts of its data centre.
    bool forward = false;
    /// `dispatched_at` is relative to the local clock: of the sender before sending, of the
    /// receiver after decoding.
    std::vector<engine_work> works;
    /// Engines that are slow according to the sender's streams.
    std::vector<slow_engine> slow_engines;
    /// Set only in complete announcements, which are not forwarded.
    prompt_part_report prompt_parts;
    /// What upstreams said to the sender about their limits; set only in complete announcements.
    std::vector<rate_limit_notice> rate_limits;
};

}  // namespace fuchsiaquay
