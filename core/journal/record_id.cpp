#include "core/journal/record_id.hpp"

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

record_id make_record_id(const customer_id& customer, const idempotency_key& key) {
    return {key, stable_hash(customer.value())};
}

std::uint32_t journal_shard(const customer_id& customer, const idempotency_key& key,
                            std::uint32_t shard_count, duration period) {
    const auto period_number =
        static_cast<std::uint64_t>(key.issued_ms() / to_milliseconds(period));
    return static_cast<std::uint32_t>(stable_hash(customer.value(), period_number) % shard_count);
}

}  // namespace fuchsiaquay
