#include "drivers/journal/flatbuffers_shard_codec.hpp"

#include <cstring>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "core/hashing/hash.hpp"
#include "drivers/journal/journal_shard_generated.h"
#include "servers/journal/journal_format_error.hpp"

namespace fuchsiaquay {

namespace {

constexpr std::size_t digest_bytes = sizeof(std::uint64_t);
constexpr std::size_t max_table_index = std::numeric_limits<std::uint16_t>::max();

/// Assigns an index to each distinct value, in the order of first use.
template <typename value_type>
class value_table {
public:
    std::uint16_t index_of(const value_type& value) {
        const auto known = indices_.find(value);
        if (known != indices_.end()) {
            return known->second;
        }
        if (values_.size() > max_table_index) {
            throw journal_format_error("too many distinct writers or content types");
        }
        const auto index = static_cast<std::uint16_t>(values_.size());
        indices_.emplace(value, index);
        values_.push_back(value);
        return index;
    }

    const std::vector<value_type>& values() const { return values_; }

private:
    std::map<value_type, std::uint16_t> indices_;
    std::vector<value_type> values_;
};

using writer_key = std::pair<host_id, std::uint64_t>;

/// Collects the entries of one shard for encoding.
class shard_encoder {
public:
    void add(const journal_entry& entry) {
        const std::uint16_t writer = writers_.index_of({entry.mark.host, entry.mark.incarnation});
        auto state = wire::entry_state::started;
        std::uint16_t status = 0;
        std::uint16_t length = 0;
        std::uint16_t content_type = 0;
        bool body_kept = false;
        if (entry.outcome) {
            const journal_outcome& outcome = *entry.outcome;
            state = outcome.known ? wire::entry_state::answered : wire::entry_state::uncertain;
            status = outcome.status;
            content_type = content_types_.index_of(outcome.content_type);
            body_kept = outcome.body_kept && outcome.body.size() <= max_table_index;
            length = add_answer(outcome, body_kept);
        }
        records_.emplace_back(entry.record.key.high, entry.record.key.low,
                              entry.record.customer_hash, entry.fingerprint, entry.mark.sequence,
                              writer, status, length, content_type, state, body_kept);
    }

    std::string finish(std::int64_t horizon_ms) const {
        flatbuffers::FlatBufferBuilder builder(records_.size() * sizeof(wire::entry_record) +
                                               answers_.size() + 1024);
        std::vector<flatbuffers::Offset<wire::writer>> writers;
        for (const auto& [host, incarnation] : writers_.values()) {
            writers.push_back(
                wire::Createwriter(builder, builder.CreateString(host.value()), incarnation));
        }
        const auto writer_list = builder.CreateVector(writers);
        const auto type_list = builder.CreateVectorOfStrings(content_types_.values());
        const auto record_list = builder.CreateVectorOfStructs(records_);
        const auto answer_list = builder.CreateVector(answers_);
        wire::Finishjournal_shardBuffer(
            builder, wire::Createjournal_shard(builder, horizon_ms, writer_list, type_list,
                                               record_list, answer_list));
        return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
    }

private:
    std::uint16_t add_answer(const journal_outcome& outcome, bool body_kept) {
        if (body_kept) {
            answers_.insert(answers_.end(), outcome.body.begin(), outcome.body.end());
            return static_cast<std::uint16_t>(outcome.body.size());
        }
        std::uint8_t digest[digest_bytes];
        std::memcpy(digest, &outcome.body_digest, digest_bytes);
        answers_.insert(answers_.end(), digest, digest + digest_bytes);
        return digest_bytes;
    }

    value_table<writer_key> writers_;
    value_table<std::string> content_types_;
    std::vector<wire::entry_record> records_;
    std::vector<std::uint8_t> answers_;
};

/// Decodes the entries of a verified buffer and checks every index and length.
class shard_decoder {
public:
    explicit shard_decoder(const wire::journal_shard& shard) : shard_(shard) {}

    shard_state decode() {
        std::vector<journal_entry> entries;
        if (shard_.entries() != nullptr) {
            entries.reserve(shard_.entries()->size());
            for (const wire::entry_record* record : *shard_.entries()) {
                entries.push_back(entry_of(*record));
            }
        }
        return {std::move(entries), shard_.horizon_ms()};
    }

private:
    journal_entry entry_of(const wire::entry_record& record) {
        if (shard_.writers() == nullptr || record.writer() >= shard_.writers()->size()) {
            throw journal_format_error("writer index out of range");
        }
        const wire::writer* writer = shard_.writers()->Get(record.writer());
        journal_entry entry;
        entry.record = {{record.key_high(), record.key_low()}, record.customer_hash()};
        entry.fingerprint = record.fingerprint();
        entry.mark = {host_id(writer->host()->str()), writer->incarnation(), record.sequence()};
        if (record.state() != wire::entry_state::started) {
            entry.outcome = outcome_of(record);
        }
        return entry;
    }

    journal_outcome outcome_of(const wire::entry_record& record) {
        if (record.state() > wire::entry_state::MAX) {
            throw journal_format_error("unknown entry state");
        }
        const auto* types = shard_.content_types();
        if (types == nullptr || record.content_type() >= types->size()) {
            throw journal_format_error("content type index out of range");
        }
        const std::string answer = next_answer(record.body_length());
        journal_outcome outcome;
        outcome.known = record.state() == wire::entry_state::answered;
        outcome.status = record.status();
        outcome.content_type = types->Get(record.content_type())->str();
        outcome.body_kept = record.body_kept();
        if (outcome.body_kept) {
            outcome.body_digest = stable_hash(answer);
            outcome.body = answer;
            return outcome;
        }
        if (answer.size() != digest_bytes) {
            throw journal_format_error("digest of wrong length");
        }
        std::memcpy(&outcome.body_digest, answer.data(), digest_bytes);
        return outcome;
    }

    std::string next_answer(std::size_t length) {
        const std::size_t available = shard_.answers() == nullptr ? 0 : shard_.answers()->size();
        if (length > available - answers_read_) {
            throw journal_format_error("answers shorter than their lengths");
        }
        if (length == 0) {
            return {};
        }
        const char* begin = reinterpret_cast<const char*>(shard_.answers()->data()) + answers_read_;
        answers_read_ += length;
        return {begin, length};
    }

    const wire::journal_shard& shard_;
    std::size_t answers_read_ = 0;
};

}  // namespace

std::string flatbuffers_shard_codec::encode(const shard_state& state) const {
    shard_encoder encoder;
    for (const journal_entry& entry : state.entries()) {
        encoder.add(entry);
    }
    return encoder.finish(state.horizon_ms());
}

shard_state flatbuffers_shard_codec::decode(std::string_view value) const {
    if (value.empty()) {
        return {};
    }
    // FlatBuffers structs must be aligned, which a view into another buffer does not guarantee.
    const std::vector<std::uint64_t> aligned = [value] {
        std::vector<std::uint64_t> words((value.size() + digest_bytes - 1) / digest_bytes);
        std::memcpy(words.data(), value.data(), value.size());
        return words;
    }();
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(bytes, value.size());
    if (!wire::Verifyjournal_shardBuffer(verifier)) {
        throw journal_format_error("not a valid shard value");
    }
    return shard_decoder(*wire::Getjournal_shard(bytes)).decode();
}

}  // namespace fuchsiaquay
