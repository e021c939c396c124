#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/journal/idempotency_key.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Identifies one call in the journal. Equal keys of different customers are different records.
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

/// Record id of a `key` that `customer` sent.
record_id make_record_id(const customer_id& customer, const idempotency_key& key);

/// Shard of a record. Keys of one customer that were issued in the same `period` share a shard, so
/// that calls made at about the same time share writes. Over time the calls of all customers are
/// spread evenly over the shards.
std::uint32_t journal_shard(const customer_id& customer, const idempotency_key& key,
                            std::uint32_t shard_count, duration period);

}  // namespace fuchsiaquay
