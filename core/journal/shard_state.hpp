#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/journal/journal_entry.hpp"

namespace fuchsiaquay {

/// Estimated encoded size in bytes of a shard without entries and writers.
constexpr std::size_t encoded_shard_overhead = 1'024;

/// Contents of one shard: its entries in key order, and the retention horizon before which keys
/// have expired.
class shard_state {
public:
    shard_state() = default;
    /// @param entries  in any order, at most one per record
    shard_state(std::vector<journal_entry> entries, std::int64_t horizon_ms);

    const std::vector<journal_entry>& entries() const noexcept { return entries_; }
    /// Keys issued before this time (milliseconds since the Unix epoch) are refused because their
    /// entries may have been removed. Never decreases.
    std::int64_t horizon_ms() const noexcept { return horizon_ms_; }
    /// Estimated encoded size in bytes, without the table of writers.
    std::size_t encoded_bytes() const noexcept { return encoded_bytes_; }

    /// Entry of `record`, or null.
    const journal_entry* find(const record_id& record) const;
    /// Adds an entry or replaces the one of the same record.
    void put(journal_entry entry);
    /// Sets the outcome of the entry of `record` if it has `mark`. Returns false otherwise.
    bool set_outcome(const record_id& record, const writer_mark& mark,
                     const journal_outcome& outcome);
    /// Removes the entry of `record` if it has `mark`.
    void erase(const record_id& record, const writer_mark& mark);
    /// Removes entries whose keys were issued before `horizon_ms`. The horizon stays at least
    /// `retention_ms` behind the newest key, so that a host with a wrong clock cannot move it too
    /// far.
    void expire_before(std::int64_t horizon_ms, std::int64_t retention_ms);
    /// Removes the stored bodies of answers to keys issued before `issued_ms`. The digests stay.
    void drop_bodies_before(std::int64_t issued_ms);

    friend bool operator==(const shard_state& a, const shard_state& b) {
        return a.horizon_ms_ == b.horizon_ms_ && a.entries_ == b.entries_;
    }
    friend bool operator!=(const shard_state& a, const shard_state& b) { return !(a == b); }

private:
    std::vector<journal_entry>::iterator position(const record_id& record);

    std::vector<journal_entry> entries_;
    std::int64_t horizon_ms_ = 0;
    std::size_t encoded_bytes_ = encoded_shard_overhead;
};

/// Upper estimate of the number of bytes that one entry adds to the encoded size.
std::size_t encoded_entry_bytes(const journal_entry& entry);

}  // namespace fuchsiaquay
