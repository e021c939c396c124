#include "drivers/journal/flatbuffers_shard_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

#include "servers/journal/journal_format_error.hpp"

using fuchsiaquay::flatbuffers_shard_codec;
using fuchsiaquay::host_id;
using fuchsiaquay::journal_entry;
using fuchsiaquay::journal_outcome;
using fuchsiaquay::make_idempotency_key;
using fuchsiaquay::shard_state;

namespace {

journal_entry make_entry(std::uint32_t number) {
    journal_entry entry;
    entry.record = {make_idempotency_key(1'700'000'000'000 + number, number, number), 17};
    entry.fingerprint = number;
    entry.mark = {host_id("host-" + std::to_string(number % 3)), number % 2, number};
    return entry;
}

shard_state make_state(std::uint32_t entries) {
    shard_state state({}, 1'600'000'000'000);
    for (std::uint32_t number = 0; number < entries; ++number) {
        journal_entry entry = make_entry(number);
        if (number % 4 == 1) {
            entry.outcome = journal_outcome::answered(201, "application/json", "{\"order\":1}");
        } else if (number % 4 == 2) {
            entry.outcome = journal_outcome::answered(200, "text/plain", "x").without_body();
        } else if (number % 4 == 3) {
            entry.outcome = journal_outcome::uncertain();
        }
        state.put(entry);
    }
    return state;
}

}  // namespace

TEST_GROUP(flatbuffers_shard_codec) {
    flatbuffers_shard_codec codec_;
};

TEST(flatbuffers_shard_codec, state_reads_back_whole) {
    for (const std::uint32_t entries : {0U, 1U, 50U}) {
        const shard_state state = make_state(entries);
        CHECK_TRUE(codec_.decode(codec_.encode(state)) == state);
    }
    CHECK_TRUE(codec_.decode("") == shard_state());
}

TEST(flatbuffers_shard_codec, value_stays_within_the_estimate) {
    shard_state started({}, 0);
    for (std::uint32_t number = 0; number < 1'000; ++number) {
        started.put(make_entry(number));
    }
    CHECK_TRUE(codec_.encode(started).size() <= started.encoded_bytes());
    const shard_state mixed = make_state(1'000);
    CHECK_TRUE(codec_.encode(mixed).size() <= mixed.encoded_bytes());
}

TEST(flatbuffers_shard_codec, damaged_value_is_refused_or_reads_as_some_state) {
    const std::string whole = codec_.encode(make_state(20));
    std::mt19937 random(11);
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = whole;
        for (int flip = 0; flip < 3; ++flip) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        damaged.resize(damaged.size() - random() % 2 * (random() % damaged.size()));
        try {
            codec_.decode(damaged);
        } catch (const fuchsiaquay::journal_format_error&) {
            ++refused;
        }
    }
    CHECK_TRUE(refused > 5'000);
}
