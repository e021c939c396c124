#include "drivers/frames/frame_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <vector>

#include "drivers/frames/frame_error.hpp"

using namespace fuchsiaquay;

namespace {

std::vector<peer_message> one_of_each() {
    member_update member{host_id("h1"),        data_centre_id("a"), "127.0.0.1", 7000, 8000, 42,
                         member_state::leaving};
    gossip_message gossip{gossip_kind::ping_request, 7,  host_id("h2"),
                          {member, member},          99, {data_centre_heartbeat{5, 6}}};
    reserve_request request{request_id("r"),
                            upstream_id("u"),
                            host_id("h"),
                            customer_id("c"),
                            2.5,
                            1,
                            0.25,
                            1000,
                            10,
                            20,
                            1020,
                            duration(123)};
    reserve_reply reply{request_id("r"),
                        upstream_id("u"),
                        reserve_outcome::queued,
                        grant_id("g"),
                        duration(1),
                        duration(2),
                        duration(3),
                        "memory",
                        4,
                        5,
                        6,
                        7,
                        8};
    upstream record;
    record.id = upstream_id("e");
    record.kind = upstream_kind::service;
    record.service = service_id("orders");
    record.address = "127.0.0.1";
    record.port = 9000;
    record.data_centre = data_centre_id("b");
    record.leaving = true;
    record.models = {model_id("m1"), model_id("m2")};
    record.checks_orders = false;
    record.memory_tokens = 77;
    return {gossip,
            request,
            reply,
            grant_release{grant_id("g"), request_id("r"), upstream_id("u"), 3},
            grant_renewal{grant_id("g"), request_id("r"), upstream_id("u"), host_id("h"),
                          customer_id("c"), 2, 500},
            budget_request{customer_id("c"), host_id("h"), 9, 1.5, 2.5, 3, 0.5, 0.25, 2},
            budget_grant{customer_id("c"), 1.5, 2.5, 3, duration(4)},
            mark_query{3, "mark", host_id("h")},
            mark_answer{3, "mark", mark_use::never_used},
            contract_update{customer_id("c"), 5, 6, true, "{}", 4},
            upstream_update{8, 7, true, {record}, {upstream_id("f")}}};
}

}  // namespace

TEST_GROUP(frame_codec) {
    frame_codec codec_{cluster_keys{"key-one", ""}};

    peer_frame frame_with(peer_message message) const {
        peer_frame frame;
        frame.sender = host_id("sender");
        frame.receiver = host_id("receiver");
        frame.peer_port = 7100;
        frame.incarnation = 11;
        frame.sequence = 12;
        frame.acknowledged = 13;
        frame.message = std::move(message);
        return frame;
    }

    std::string payload_of(const peer_frame& frame) const {
        return codec_.encode(frame).substr(frame_codec::length_bytes);
    }
};

TEST(frame_codec, every_message_survives_a_round_trip) {
    for (const peer_message& message : one_of_each()) {
        const peer_frame frame = frame_with(message);
        const std::string bytes = codec_.encode(frame);
        const auto length = frame_codec::payload_length(bytes);
        CHECK_TRUE(length.has_value());
        LONGS_EQUAL(bytes.size() - frame_codec::length_bytes, *length);
        const auto decoded = codec_.decode(bytes.substr(frame_codec::length_bytes));
        CHECK_TRUE(decoded.has_value());
        CHECK_TRUE(frame == *decoded);
    }
    LONGS_EQUAL(std::variant_size_v<peer_message>, one_of_each().size());
}

TEST(frame_codec, bare_acknowledgement_survives_a_round_trip) {
    peer_frame frame = frame_with(mark_query{});
    frame.message.reset();
    CHECK_TRUE(frame == codec_.decode(payload_of(frame)).value());
}

TEST(frame_codec, any_changed_byte_is_refused) {
    const std::string payload = payload_of(frame_with(one_of_each().front()));
    for (std::size_t i = 0; i < payload.size(); ++i) {
        std::string changed = payload;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        CHECK_FALSE(codec_.decode(changed).has_value());
    }
}

TEST(frame_codec, foreign_key_is_refused) {
    const frame_codec foreign(cluster_keys{"key-two", ""});
    CHECK_FALSE(foreign.decode(payload_of(frame_with(mark_query{}))).has_value());
}

TEST(frame_codec, both_keys_are_accepted_during_a_rotation) {
    const frame_codec rotated(cluster_keys{"key-two", "key-one"});
    const frame_codec prepared(cluster_keys{"key-one", "key-two"});
    const peer_frame frame = frame_with(mark_query{});
    CHECK_TRUE(rotated.decode(payload_of(frame)).has_value());
    CHECK_TRUE(
        prepared.decode(rotated.encode(frame).substr(frame_codec::length_bytes)).has_value());
}

TEST(frame_codec, length_out_of_bounds_is_refused) {
    CHECK_FALSE(frame_codec::payload_length(std::string(4, '\0')).has_value());
    CHECK_FALSE(frame_codec::payload_length(std::string(4, '\x7f')).has_value());
}

TEST(frame_codec, message_too_long_throws) {
    const contract_update update{customer_id("c"), 1, 1, false,
                                 std::string(frame_codec::max_payload_bytes, 'x')};
    CHECK_THROWS(frame_error, codec_.encode(frame_with(update)));
}

TEST(frame_codec, random_bytes_under_a_valid_mac_are_verified_before_use) {
    // Signs corrupted tables with a valid key, as a peer with a faulty encoder would. Decoding them
    // must not crash.
    std::mt19937 random(7);
    const std::string good = payload_of(frame_with(one_of_each().front()));
    for (int round = 0; round < 2000; ++round) {
        std::string table = good.substr(frame_codec::mac_bytes);
        for (int changes = 0; changes < 4; ++changes) {
            table[random() % table.size()] = static_cast<char>(random());
        }
        codec_.decode(codec_.sign(table));
    }
}
