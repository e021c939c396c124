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
    /// How long a key is kept, counted from its time of issue.
    duration retention = std::chrono::hours(24);
    /// How long complete answers are kept. Afterwards only the status and the digest remain.
    duration answer_retention = std::chrono::minutes(30);
    /// How far ahead of this host's clock a key may have been issued.
    duration clock_tolerance = std::chrono::minutes(2);
    /// Maximum size of a shard's value in bytes; the store's limit is 1 MB.
    std::size_t max_shard_bytes = 900'000;
    /// Maximum size in bytes of an answer that is copied into the journal.
    std::size_t max_answer_bytes = 1'024;
    /// Maximum time a call waits for its start to become durable.
    duration start_timeout = std::chrono::seconds(2);
    /// Maximum time an outcome waits so that it can be batched with other changes.
    duration outcome_delay = std::chrono::seconds(1);
    /// This node's share of the fleet's write budget.
    double writes_per_second = 40.0;
    /// Number of writes that may be made in one burst.
    double write_burst = 8.0;
    /// A call is refused if its write would wait longer than this for the write budget.
    duration max_budget_wait = std::chrono::milliseconds(100);
    /// Time allowed for another writer to answer an inquiry about its mark.
    duration inquiry_timeout = std::chrono::milliseconds(300);
    /// Initial and maximum backoff after a failed store call.
    duration store_retry_min = std::chrono::milliseconds(50);
    duration store_retry_max = std::chrono::seconds(2);
    /// Maximum encoded size in bytes of the shards that are cached in memory. Idle shards are
    /// evicted above it.
    std::size_t max_cached_bytes = 8'000'000;
};

}  // namespace fuchsiaquay
