#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Periods and bounds of the membership. The defaults hold for 8 to 340 hosts.
struct membership_settings {
    /// Each host probes one host of its data centre in this period.
    duration probe_period = std::chrono::seconds(1);
    /// Time for a direct acknowledgement, before others are asked to probe.
    duration ping_timeout = std::chrono::milliseconds(300);
    /// Hosts asked to probe a target that did not answer.
    std::size_t indirect_probes = 3;
    /// Time that a suspect has to refute before it is dead.
    duration suspicion_timeout = std::chrono::seconds(4);
    /// Time that a dead host stays listed, so that old news of it is recognised.
    duration dead_retention = std::chrono::minutes(10);
    /// Ticks that come later than this show that the process was paused.
    duration pause_threshold = std::chrono::milliseconds(700);
    /// Updates that ride on one probe.
    std::size_t max_updates_per_message = 8;
    /// Each update rides on this times the decimal logarithm of the host count, rounded up.
    std::size_t retransmit_factor = 4;
    /// Hosts of a data centre that talk to the other data centres.
    std::size_t bridges_per_data_centre = 3;
    /// Each bridge probes one remote host in this period.
    duration bridge_period = std::chrono::seconds(1);
    /// A data centre not heard of for this long is unreachable.
    duration unreachable_after = std::chrono::seconds(10);
    /// Period of joins through first peers while alone.
    duration join_period = std::chrono::seconds(1);
    /// Period in which a bridge tries a first peer that is not a live member.
    duration rejoin_period = std::chrono::seconds(30);
    /// Time that membership views must stay unequal before the whole lists are exchanged.
    duration mismatch_before_sync = std::chrono::seconds(5);
    /// Shortest time between two exchanges that one host starts.
    duration sync_period = std::chrono::seconds(30);
};

}  // namespace fuchsiaquay
