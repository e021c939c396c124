#include "core/journal/shard_state.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

namespace {

/// Encoded size of an entry without its digest and answer.
constexpr std::size_t entry_bytes = 48;
constexpr std::size_t digest_bytes = 8;

bool by_record(const journal_entry& a, const journal_entry& b) {
    return a.record < b.record;
}

}  // namespace

std::size_t encoded_entry_bytes(const journal_entry& entry) {
    // The digest is also counted for entries without an outcome, so that there is always room to
    // add one.
    std::size_t bytes = entry_bytes + digest_bytes;
    if (entry.outcome) {
        bytes += entry.outcome->body.size() + entry.outcome->content_type.size();
    }
    return bytes;
}

shard_state::shard_state(std::vector<journal_entry> entries, std::int64_t horizon_ms)
    : entries_(std::move(entries)),
      horizon_ms_(horizon_ms),
      encoded_bytes_(encoded_shard_overhead) {
    std::sort(entries_.begin(), entries_.end(), by_record);
    for (const journal_entry& entry : entries_) {
        encoded_bytes_ += encoded_entry_bytes(entry);
    }
}

std::vector<journal_entry>::iterator shard_state::position(const record_id& record) {
    return std::lower_bound(
        entries_.begin(), entries_.end(), record,
        [](const journal_entry& entry, const record_id& id) { return entry.record < id; });
}

const journal_entry* shard_state::find(const record_id& record) const {
    const auto found = const_cast<shard_state*>(this)->position(record);
    if (found == entries_.end() || found->record != record) {
        return nullptr;
    }
    return &*found;
}

void shard_state::put(journal_entry entry) {
    const auto found = position(entry.record);
    encoded_bytes_ += encoded_entry_bytes(entry);
    if (found != entries_.end() && found->record == entry.record) {
        encoded_bytes_ -= encoded_entry_bytes(*found);
        *found = std::move(entry);
        return;
    }
    entries_.insert(found, std::move(entry));
}

bool shard_state::set_outcome(const record_id& record, const writer_mark& mark,
                              const journal_outcome& outcome) {
    const auto found = position(record);
    if (found == entries_.end() || found->record != record || found->mark != mark) {
        return false;
    }
    encoded_bytes_ -= encoded_entry_bytes(*found);
    found->outcome = outcome;
    encoded_bytes_ += encoded_entry_bytes(*found);
    return true;
}

void shard_state::erase(const record_id& record, const writer_mark& mark) {
    const auto found = position(record);
    if (found == entries_.end() || found->record != record || found->mark != mark) {
        return;
    }
    encoded_bytes_ -= encoded_entry_bytes(*found);
    entries_.erase(found);
}

void shard_state::expire_before(std::int64_t horizon_ms, std::int64_t retention_ms) {
    if (entries_.empty()) {
        return;
    }
    const std::int64_t newest_ms = entries_.back().record.key.issued_ms();
    const std::int64_t new_horizon_ms = std::min(horizon_ms, newest_ms - retention_ms);
    if (new_horizon_ms <= horizon_ms_) {
        return;
    }
    horizon_ms_ = new_horizon_ms;
    auto first_kept = entries_.begin();
    while (first_kept != entries_.end() && first_kept->record.key.issued_ms() < horizon_ms_) {
        encoded_bytes_ -= encoded_entry_bytes(*first_kept);
        ++first_kept;
    }
    entries_.erase(entries_.begin(), first_kept);
}

void shard_state::drop_bodies_before(std::int64_t issued_ms) {
    for (journal_entry& entry : entries_) {
        if (entry.record.key.issued_ms() >= issued_ms) {
            return;
        }
        if (entry.outcome && entry.outcome->body_kept) {
            encoded_bytes_ -= encoded_entry_bytes(entry);
            entry.outcome = entry.outcome->without_body();
            encoded_bytes_ += encoded_entry_bytes(entry);
        }
    }
}

}  // namespace fuchsiaquay
