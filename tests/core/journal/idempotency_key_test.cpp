#include "core/journal/idempotency_key.hpp"

#include <CppUTest/TestHarness.h>

#include "core/journal/writer_mark.hpp"

using fuchsiaquay::idempotency_key;
using fuchsiaquay::make_idempotency_key;
using fuchsiaquay::parse_idempotency_key;
using fuchsiaquay::parse_writer_mark;

TEST_GROUP(idempotency_key){};

TEST(idempotency_key, uuid_version_7_contains_time_of_issue) {
    // Example from RFC 9562, appendix A.6.
    const auto key = parse_idempotency_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    CHECK_TRUE(key.has_value());
    CHECK_TRUE(key->issued_ms() == 1'645'557'742'000);
    STRCMP_EQUAL("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", key->to_string().c_str());
}

TEST(idempotency_key, other_texts_are_rejected) {
    for (const char* text :
         {"", "order-17", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
          "017F22E2-79B0-7CC3-18C4-DC0C0C07398F", "017F22E279B0-7CC3-98C4-DC0C0C07398F-",
          "g17F22E2-79B0-7CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F0"}) {
        CHECK_FALSE(parse_idempotency_key(text).has_value());
    }
}

TEST(idempotency_key, new_key_round_trips_through_text) {
    const idempotency_key key = make_idempotency_key(1'700'000'000'123, ~0ULL, ~0ULL);
    CHECK_TRUE(key.issued_ms() == 1'700'000'000'123);
    CHECK_TRUE(parse_idempotency_key(key.to_string()) == key);
}

TEST_GROUP(writer_mark){};

TEST(writer_mark, text_round_trips_and_malformed_text_is_rejected) {
    const fuchsiaquay::writer_mark mark{fuchsiaquay::host_id("kr/1"), ~0ULL, 7};
    CHECK_TRUE(parse_writer_mark(mark.to_string()) == mark);
    for (const char* text :
         {"", "a", "a/1", "/1/2", "a/1/", "a//2", "a/x/2", "a/1/-2", "a/1/4294967296"}) {
        CHECK_FALSE(parse_writer_mark(text).has_value());
    }
}
