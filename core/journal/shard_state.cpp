#include "core/journal/shard_state.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

namespace {

/// Fixed part of an encoded entry.
constexpr std::size_t entry_bytes = 48;
constexpr std::size_t digest_bytes = 8;

bool by_record(const journal_entry& a, const journal_entry& b) {
    return a.record < b.record;
}

}  // namespace

std::size_t encoded_entry_bytes(const journal_entry& entry) {
    // The digest is counted for started entries too, so that an outcome always finds room.
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
    const auto place = position(entry.record);
    encoded_bytes_ += encoded_entry_bytes(entry);
    if (place != entries_.end() && place->record == entry.record) {
        encoded_bytes_ -= encoded_entry_bytes(*place);
        *place = std::move(entry);
        return;
    }
    entries_.insert(place, std::move(entry));
}

bool shard_state::set_outcome(const record_id& record, const writer_mark& mark,
                              const journal_outcome& outcome) {
    const auto place = position(record);
    if (place == entries_.end() || place->record != record || place->mark != mark) {
        return false;
    }
    encoded_bytes_ -= encoded_entry_bytes(*place);
    place->outcome = outcome;
    encoded_bytes_ += encoded_entry_bytes(*place);
    return true;
}

void shard_state::erase(const record_id& record, const writer_mark& mark) {
    const auto place = position(record);
    if (place == entries_.end() || place->record != record || place->mark != mark) {
        return;
    }
    encoded_bytes_ -= encoded_entry_bytes(*place);
    entries_.erase(place);
}

void shard_state::expire_before(std::int64_t horizon_ms, std::int64_t retention_ms) {
    if (entries_.empty()) {
        return;
    }
    const std::int64_t newest_ms = entries_.back().record.key.issued_ms();
    const std::int64_t wanted = std::min(horizon_ms, newest_ms - retention_ms);
    if (wanted <= horizon_ms_) {
        return;
    }
    horizon_ms_ = wanted;
    auto kept = entries_.begin();
    while (kept != entries_.end() && kept->record.key.issued_ms() < horizon_ms_) {
        encoded_bytes_ -= encoded_entry_bytes(*kept);
        ++kept;
    }
    entries_.erase(entries_.begin(), kept);
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
