#include "core/journal/record_id.hpp"

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

record_id make_record_id(const customer_id& customer, const idempotency_key& key) {
    return {key, stable_hash(customer.value())};
}

std::uint32_t journal_shard(const customer_id& customer, const idempotency_key& key,
                            std::uint32_t shard_count, std::uint32_t shards_per_customer) {
    const std::uint64_t slot = stable_hash(key.to_string()) % shards_per_customer;
    return static_cast<std::uint32_t>(stable_hash(customer.value(), slot) % shard_count);
}

}  // namespace fuchsiaquay
