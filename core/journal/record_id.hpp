#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/journal/idempotency_key.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Names one call in the journal. Keys of different customers never meet.
struct record_id {
    idempotency_key key;
    /// Hash of the customer's id.
    std::uint64_t customer_hash = 0;

    friend bool operator==(const record_id& a, const record_id& b) {
        return std::tie(a.key, a.customer_hash) == std::tie(b.key, b.customer_hash);
    }
    friend bool operator!=(const record_id& a, const record_id& b) { return !(a == b); }
    friend bool operator<(const record_id& a, const record_id& b) {
        return std::tie(a.key, a.customer_hash) < std::tie(b.key, b.customer_hash);
    }
};

/// Record of `key` when `customer` presents it.
record_id make_record_id(const customer_id& customer, const idempotency_key& key);

/// Shard of a record. Keys of one customer that were issued in the same `period` share a shard, so
/// that calls made together share writes, while over time the calls of all customers spread evenly
/// over the shards.
std::uint32_t journal_shard(const customer_id& customer, const idempotency_key& key,
                            std::uint32_t shard_count, duration period);

}  // namespace fuchsiaquay
