#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/journal/idempotency_key.hpp"

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

/// Shard of a record. The keys of one customer share `shards_per_customer` shards, so that the
/// few hosts that serve the customer meet in few values and their batches grow.
std::uint32_t journal_shard(const customer_id& customer, const idempotency_key& key,
                            std::uint32_t shard_count, std::uint32_t shards_per_customer);

}  // namespace fuchsiaquay
