#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Pace of the spreading of contracts.
struct contract_watcher_settings {
    /// Hosts of each data centre that watch the store.
    std::size_t watchers = 2;
    /// Hosts that a change is pushed to by each host that learns of it.
    std::size_t fan_out = 3;
    /// Time between looks at the membership and, at a watcher, at the index key.
    duration check_period = std::chrono::seconds(1);
    /// Time between two comparisons with a watcher: this much for each host of the data centre,
    /// so that the load on a watcher does not grow with it, within the two bounds.
    duration compare_period_per_host = std::chrono::milliseconds(100);
    duration shortest_compare_period = std::chrono::seconds(1);
    duration longest_compare_period = std::chrono::seconds(4);
    /// A watcher vouches for its contracts this long after its last look at the index key.
    duration verification_max_age = std::chrono::seconds(3);
    /// Time that a host stays behind before it reads the store itself.
    duration behind_timeout = std::chrono::seconds(5);
    /// Time that a starting host waits for the store or for the agreement of a peer.
    duration catch_up_wait = std::chrono::seconds(2);
    /// Time before a failed read or watch is tried again; doubled up to the longest.
    duration shortest_retry = std::chrono::milliseconds(200);
    duration longest_retry = std::chrono::seconds(5);
    /// Seed of the choice of peers and of the jitter of retries.
    std::uint64_t seed = 1;
};

}  // namespace fuchsiaquay
