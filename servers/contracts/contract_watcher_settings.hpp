#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Timing and limits of the distribution of contracts.
struct contract_watcher_settings {
    /// Number of hosts in each data centre that watch the store.
    std::size_t watchers = 2;
    /// Number of peers to which each host pushes a change that is new to it.
    std::size_t fan_out = 3;
    /// Interval between checks of the membership and, on a watcher, of the index key.
    duration check_period = std::chrono::seconds(1);
    /// Interval between comparisons with a watcher per host of the data centre, so that the load on
    /// a watcher does not grow with the number of hosts. The result is limited to the range below.
    duration compare_period_per_host = std::chrono::milliseconds(100);
    duration shortest_compare_period = std::chrono::seconds(1);
    duration longest_compare_period = std::chrono::seconds(4);
    /// A watcher's contracts count as verified for this long after its last check of the index key.
    duration verification_max_age = std::chrono::seconds(3);
    /// How long a host may be behind before it reads the store itself.
    duration behind_timeout = std::chrono::seconds(5);
    /// How long a starting host waits for the store or for confirmation by a peer.
    duration catch_up_wait = std::chrono::seconds(2);
    /// Exponential backoff after a failed read or watch: initial and maximum delay.
    duration shortest_retry = std::chrono::milliseconds(200);
    duration longest_retry = std::chrono::seconds(5);
    /// Seed of the random choice of peers.
    std::uint64_t seed = 1;
};

}  // namespace fuchsiaquay
