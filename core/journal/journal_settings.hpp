#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of the journal. All nodes of a fleet need the same shard count, period and retention.
struct journal_settings {
    std::uint32_t shard_count = 1024;
    /// Keys of one customer issued in the same period share a shard. At least 1 ms.
    duration shard_period = std::chrono::seconds(10);
    /// Time for which a key is remembered, counted from its issue.
    duration retention = std::chrono::hours(24);
    /// Time for which answers are kept whole; afterwards status and digest remain.
    duration answer_retention = std::chrono::minutes(30);
    /// How far ahead of this host's clock a key may have been issued.
    duration clock_tolerance = std::chrono::minutes(2);
    /// Largest value of a shard in bytes; the store's own limit is 1 MB.
    std::size_t max_shard_bytes = 900'000;
    /// Largest answer copied into the journal, in bytes.
    std::size_t max_answer_bytes = 1'024;
    /// Largest time a call may wait for its start to be durable.
    duration start_timeout = std::chrono::seconds(2);
    /// Largest time an outcome waits for a write to share.
    duration outcome_delay = std::chrono::seconds(1);
    /// This node's part of the fleet's write budget.
    double writes_per_second = 40.0;
    /// Writes that may follow each other at once.
    double write_burst = 8.0;
    /// A call is refused when its write would have to wait longer than this for the budget.
    duration max_budget_wait = std::chrono::milliseconds(100);
    /// Time given to the writer of another's mark to answer.
    duration inquiry_timeout = std::chrono::milliseconds(300);
    /// First and largest pause after a store call that failed.
    duration store_retry_min = std::chrono::milliseconds(50);
    duration store_retry_max = std::chrono::seconds(2);
    /// Idle shards held in memory, in bytes of encoded value.
    std::size_t max_cached_bytes = 8'000'000;
};

}  // namespace fuchsiaquay
