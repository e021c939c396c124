#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Timing and limits of the membership protocol. The defaults are suitable for 8 to 340 hosts.
struct membership_settings {
    /// Period in which each host probes one host of its data centre.
    duration probe_period = std::chrono::seconds(1);
    /// Timeout of a direct probe, after which indirect probes are requested.
    duration ping_timeout = std::chrono::milliseconds(300);
    /// Number of hosts that are asked to probe a target that did not answer.
    std::size_t indirect_probes = 3;
    /// Time for a suspect to refute the suspicion before it is declared dead.
    duration suspicion_timeout = std::chrono::seconds(4);
    /// Time for which a dead host stays listed, so that outdated updates about it are rejected.
    duration dead_retention = std::chrono::minutes(10);
    /// A longer gap between two ticks means that the process was paused.
    duration pause_threshold = std::chrono::milliseconds(700);
    /// Maximum number of updates that are piggybacked on one message.
    std::size_t max_updates_per_message = 8;
    /// Each update is sent this many times the decimal logarithm of the host count, rounded up.
    std::size_t retransmit_factor = 4;
    /// Number of hosts of each data centre that exchange updates with the other data centres.
    std::size_t bridges_per_data_centre = 3;
    /// Period in which each bridge probes one remote host.
    duration bridge_period = std::chrono::seconds(1);
    /// A data centre without a new heartbeat for this long is unreachable.
    duration unreachable_after = std::chrono::seconds(10);
    /// Period of joins through seed peers until another host has answered, and after a start or
    /// pause.
    duration join_period = std::chrono::seconds(1);
    /// Period in which a bridge tries to join through a seed peer that is not a live member.
    duration rejoin_period = std::chrono::seconds(30);
    /// Time for which digests must differ before the complete member lists are exchanged.
    duration mismatch_before_sync = std::chrono::seconds(5);
    /// Minimum time between two exchanges of complete lists started by one host.
    duration sync_period = std::chrono::seconds(30);
};

}  // namespace fuchsiaquay
