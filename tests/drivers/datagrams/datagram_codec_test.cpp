#include "drivers/datagrams/datagram_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <variant>

#include "core/error/operation_error.hpp"
#include "core/freshness/store_revision.hpp"
#include "drivers/datagrams/datagram_generated.h"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(datagram_codec) {
    instant now_ = instant(seconds(100));

    announcement sample() const {
        announcement message;
        message.sender.host = "h1";
        message.sender.data_centre = "dc";
        message.sender.caller_address = {"10.0.0.1", 80};
        message.sender.datagram_address = {"10.0.0.1", 81};
        message.sender.query_address = {"10.0.0.1", 82};
        message.sender.incarnation = 7;
        message.state = host_state::ready;
        message.complete = true;
        message.forward = true;
        message.sequence = 3;
        message.configuration_revision = 12;
        engine_work work;
        work.key = 9;
        work.engine = "e1";
        work.phase = work_phase::decode;
        work.memory_tokens = 5'000;
        work.target_gap = milliseconds(200);
        work.dispatched_at = now_ - milliseconds(300);
        message.works.push_back(work);
        return message;
    }
};

TEST(datagram_codec, ages_are_converted_to_the_receivers_clock) {
    const instant receiver_now = instant(seconds(5));
    const auto message =
        std::get<announcement>(decode_datagram(encode_datagram(sample(), now_), receiver_now));
    CHECK_TRUE(message.sender == sample().sender);
    CHECK_TRUE(message.state == host_state::ready);
    LONGS_EQUAL(12, message.configuration_revision);
    CHECK_TRUE(message.works.front().dispatched_at == receiver_now - milliseconds(300));
    CHECK_TRUE(message.works.front().target_gap == milliseconds(200));
}

TEST(datagram_codec, work_keeps_its_account_rank_and_engine_time) {
    announcement message = sample();
    engine_work& work = message.works.front();
    work.account = 0x1234'5678'9abc'def0;
    work.rank = 2;
    work.engine_time = milliseconds(700);
    const auto decoded =
        std::get<announcement>(decode_datagram(encode_datagram(message, now_), now_));
    CHECK_TRUE(decoded.works.front().account == work.account);
    LONGS_EQUAL(2, decoded.works.front().rank);
    CHECK_TRUE(decoded.works.front().engine_time == milliseconds(700));
}

// An older build sends no such fields.
TEST(datagram_codec, work_without_an_account_takes_no_more_space) {
    announcement with_account = sample();
    with_account.works.front().account = 7;
    CHECK_TRUE(encode_datagram(sample(), now_).size() < encode_datagram(with_account, now_).size());
    const auto decoded =
        std::get<announcement>(decode_datagram(encode_datagram(sample(), now_), now_));
    CHECK_TRUE(decoded.works.front().account == 0);
    CHECK_TRUE(decoded.works.front().engine_time == duration::zero());
}

TEST(datagram_codec, prompt_parts_keep_their_ages_on_the_receivers_clock) {
    announcement message = sample();
    message.prompt_parts.ends.push_back(
        {{"e1", 1'700}, 5, {"a", "b"}, now_ - seconds(2), true, milliseconds(40)});
    message.prompt_parts.gone_engines = {{"e1", 1'700}};
    message.prompt_parts.answered = {"c"};
    message.prompt_parts.quarantined.push_back({"d", now_ + seconds(60)});
    const auto decoded =
        std::get<announcement>(decode_datagram(encode_datagram(message, now_), now_ + seconds(1)));
    prompt_part_report expected = message.prompt_parts;
    expected.ends.front().ended_at = now_ - seconds(1);
    expected.quarantined.front().until = now_ + seconds(61);
    CHECK_TRUE(decoded.prompt_parts == expected);
}

TEST(datagram_codec, limits_and_their_ends_are_announced) {
    announcement message = sample();
    message.rate_limits.push_back({"e1", 1.6, now_ - seconds(1)});
    message.rate_limits.push_back({"e2", std::nullopt, now_});
    const auto decoded =
        std::get<announcement>(decode_datagram(encode_datagram(message, now_), now_));
    CHECK_TRUE(decoded.rate_limits == message.rate_limits);
}

TEST(datagram_codec, view_reply_keeps_the_quarantined_parts) {
    view_reply reply;
    reply.quarantined_parts.push_back({"d", now_ + seconds(60)});
    const auto decoded = std::get<view_reply>(decode_datagram(encode_datagram(reply, now_), now_));
    CHECK_TRUE(decoded.quarantined_parts == reply.quarantined_parts);
}

TEST(datagram_codec, view_reply_keeps_the_evacuations) {
    view_reply reply;
    reply.evacuations = evacuation_set({"south-a", "south-b"}, 41);
    reply.evacuations_as_of = 57;
    const auto decoded = std::get<view_reply>(decode_datagram(encode_datagram(reply, now_), now_));
    CHECK_TRUE(decoded.evacuations == reply.evacuations);
    LONGS_EQUAL(57, decoded.evacuations_as_of);
}

TEST(datagram_codec, slow_engines_keep_their_slowdown) {
    announcement message = sample();
    message.slow_engines.push_back({"e7", 4.5});
    const auto decoded =
        std::get<announcement>(decode_datagram(encode_datagram(message, now_), now_));
    LONGS_EQUAL(1, decoded.slow_engines.size());
    CHECK_EQUAL(std::string("e7"), decoded.slow_engines.front().id);
    DOUBLES_EQUAL(4.5, decoded.slow_engines.front().slowdown, 0.001);
}

TEST(datagram_codec, ended_work_is_encoded_in_fewer_bytes) {
    announcement message = sample();
    const std::size_t active_size = encode_datagram(message, now_).size();
    message.works.front().phase = work_phase::ended;
    const std::string bytes = encode_datagram(message, now_);
    CHECK_TRUE(bytes.size() + 20 < active_size);
    const auto decoded = std::get<announcement>(decode_datagram(bytes, now_));
    CHECK_TRUE(decoded.works.front().phase == work_phase::ended);
    LONGS_EQUAL(9, decoded.works.front().key);
    CHECK_EQUAL(std::string("e1"), decoded.works.front().engine);
}

TEST(datagram_codec, incremental_announcement_has_no_addresses) {
    announcement changes = sample();
    const std::size_t complete_size = encode_datagram(changes, now_).size();
    changes.complete = false;
    const std::string bytes = encode_datagram(changes, now_);
    CHECK_TRUE(bytes.size() < complete_size);
    const auto message = std::get<announcement>(decode_datagram(bytes, now_));
    CHECK_EQUAL(std::string("h1"), message.sender.host);
    CHECK_TRUE(message.sender.caller_address.empty());
    LONGS_EQUAL(1, message.works.size());
}

TEST(datagram_codec, view_reply_keeps_changes_and_ages) {
    view_reply reply;
    reply.sender = "h2";
    reply.nonce = 5;
    reply.configuration_age = milliseconds(1'300);
    reply.catalogue.revision = 40;
    upstream_change change;
    change.entry.id = "i-1";
    change.entry.service = "s";
    change.entry.address = {"10.1.0.1", 8080};
    change.entry.state = upstream_state::draining;
    change.entry.data_centre = "south-a";
    change.entry.cold_time = milliseconds(900);
    change.revision = 39;
    reply.catalogue.changes.push_back(change);
    const auto decoded = std::get<view_reply>(decode_datagram(encode_datagram(reply, now_), now_));
    CHECK_TRUE(decoded.configuration_age == milliseconds(1'300));
    CHECK_TRUE(decoded.catalogue.changes.front() == change);
    CHECK_TRUE(decoded.catalogue.changes.front().entry.cold_time == milliseconds(900));
}

// Guards against an entry that a host of another version accepted and that this one cannot connect
// to.
TEST(datagram_codec, upstream_without_address_or_slots_counts_as_removed) {
    view_reply reply;
    upstream_change change;
    change.entry.id = "i-1";
    change.entry.service = "s";
    change.entry.address = {"999.1.0.1", 8080};
    reply.catalogue.changes.push_back(change);
    change.entry.address = {"10.1.0.1", 8080};
    change.entry.slots = 0;
    reply.catalogue.changes.push_back(change);
    const auto decoded = std::get<view_reply>(decode_datagram(encode_datagram(reply, now_), now_));
    for (const upstream_change& item : decoded.catalogue.changes) {
        CHECK_TRUE(item.removed);
    }
}

TEST(datagram_codec, corrupted_bytes_are_rejected_without_a_crash) {
    std::mt19937 random(20261204);
    const std::string valid = encode_datagram(sample(), now_);
    int rejected = 0;
    constexpr int attempts = 20'000;
    for (int i = 0; i < attempts; ++i) {
        std::string bytes = valid.substr(0, random() % (valid.size() + 1));
        for (int flips = 0; flips < 4 && !bytes.empty(); ++flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        try {
            decode_datagram(bytes, now_);
        } catch (const operation_error&) {
            ++rejected;
        }
    }
    CHECK_TRUE(rejected > attempts / 2);
}

// A host of an earlier version reads the numbers and compares them with those of the store.
TEST(datagram_codec, revisions_are_sent_as_numbers_beside_their_eras) {
    announcement message = sample();
    message.configuration_revision = make_store_revision(3, 192);
    message.sender.incarnation = static_cast<std::uint64_t>(make_store_revision(2, 7));
    const std::string bytes = encode_datagram(message, now_);
    const auto* wire = wire::Getdatagram(bytes.data())->message_as_announcement();
    LONGS_EQUAL(192, wire->configuration_revision());
    LONGS_EQUAL(7, wire->incarnation());
    const auto decoded = std::get<announcement>(decode_datagram(bytes, now_));
    CHECK_TRUE(decoded.configuration_revision == message.configuration_revision);
    CHECK_TRUE(decoded.sender == message.sender);
}

TEST(datagram_codec, view_messages_keep_the_eras_of_their_revisions) {
    view_reply reply;
    reply.configuration_revision = make_store_revision(1, 5);
    reply.catalogue.revision = make_store_revision(2, 6);
    upstream_change change;
    change.entry.id = "e1";
    change.entry.address = {"10.0.0.9", 80};
    change.entry.slots = 1;
    change.revision = make_store_revision(1, 4);
    reply.catalogue.changes.push_back(change);
    reply.evacuations = evacuation_set({}, make_store_revision(1, 2));
    reply.evacuations_as_of = make_store_revision(2, 3);
    const auto decoded = std::get<view_reply>(decode_datagram(encode_datagram(reply, now_), now_));
    CHECK_TRUE(decoded.configuration_revision == reply.configuration_revision);
    CHECK_TRUE(decoded.catalogue.revision == reply.catalogue.revision);
    CHECK_TRUE(decoded.catalogue.changes == reply.catalogue.changes);
    CHECK_TRUE(decoded.evacuations == reply.evacuations);
    CHECK_TRUE(decoded.evacuations_as_of == reply.evacuations_as_of);
    view_request request;
    request.sender = sample().sender;
    request.catalogue_revision = make_store_revision(2, 6);
    const auto asked =
        std::get<view_request>(decode_datagram(encode_datagram(request, now_), now_));
    CHECK_TRUE(asked.catalogue_revision == request.catalogue_revision);
}
