#include "core/relay/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using fuchsiaquay::event_splitter;

TEST_GROUP(event_splitter) {
    event_splitter splitter_;
};

TEST(event_splitter, events_are_returned_complete_wherever_the_input_is_cut) {
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        event_splitter splitter;
        std::string out = splitter.append(stream.substr(0, cut));
        out += splitter.append(stream.substr(cut));
        CHECK_EQUAL(stream, out);
        LONGS_EQUAL(3, splitter.last_id());
        LONGS_EQUAL(3, splitter.count());
        CHECK_FALSE(splitter.out_of_order());
    }
}

TEST(event_splitter, incomplete_event_is_buffered_until_it_is_dropped) {
    CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), splitter_.append("id: 1\ndata: a\n\nid: 2\nda"));
    CHECK_TRUE(splitter_.has_partial());
    splitter_.drop_partial();
    CHECK_EQUAL(std::string("id: 2\ndata: b\n\n"), splitter_.append("id: 2\ndata: b\n\n"));
    LONGS_EQUAL(2, splitter_.last_id());
}

TEST(event_splitter, missing_or_repeated_event_is_detected) {
    splitter_.append("id: 1\ndata: a\n\n");
    splitter_.append("id: 3\ndata: c\n\n");
    CHECK_TRUE(splitter_.out_of_order());
    event_splitter repeated;
    repeated.append("id: 4\ndata: d\n\nid: 4\ndata: d\n\n");
    CHECK_TRUE(repeated.out_of_order());
}

// Guards against a continuation after events that were discarded with an invalid one.
TEST(event_splitter, invalid_event_discards_the_bytes_that_arrived_with_it) {
    splitter_.append("id: 1\ndata: a\n\n");
    CHECK_EQUAL(std::string(), splitter_.append("id: 2\ndata: b\n\nid: 4\ndata: d\n\nid: 5\n"));
    CHECK_TRUE(splitter_.out_of_order());
    CHECK_EQUAL(std::string(), splitter_.append("id: 2\ndata: b\n\n"));
    LONGS_EQUAL(1, splitter_.last_id());
    LONGS_EQUAL(1, splitter_.count());
    splitter_.drop_partial();
    CHECK_FALSE(splitter_.out_of_order());
    CHECK_EQUAL(std::string("id: 2\ndata: b\n\n"), splitter_.append("id: 2\ndata: b\n\n"));
}

// Guards against text of a failure that is forwarded as an event.
TEST(event_splitter, text_without_a_field_is_no_event_in_a_stream_with_ids) {
    for (const char* text : {"busy\n\n", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"}) {
        event_splitter with_ids(1);
        CHECK_EQUAL(std::string(), with_ids.append(text));
        CHECK_TRUE(with_ids.out_of_order());
    }
    for (const std::string text :
         {": still here\n\n", "retry: 10\n\n", "event: a\r\n\r\n", "data: [DONE]\n\n",
          "x-weights: 2\nid: 2\ndata: a\n\n", "\n\n"}) {
        event_splitter with_ids(1);
        CHECK_EQUAL(text, with_ids.append(text));
        CHECK_FALSE(with_ids.out_of_order());
    }
    CHECK_EQUAL(std::string("busy\n\n"), splitter_.append("busy\n\n"));
}

// Guards against a stream that ends although an event had begun at an upstream that failed.
TEST(event_splitter, event_that_had_begun_is_expected_after_it_was_dropped) {
    splitter_.append("id: 1\ndata: a\n\nid: 2\nda");
    splitter_.drop_partial();
    CHECK_TRUE(splitter_.has_partial());
    splitter_.append("id: 2\ndata: b\n\n");
    CHECK_FALSE(splitter_.has_partial());
}

// Guards against an upstream that ends a stream of which it sent nothing.
TEST(event_splitter, further_event_is_expected_after_a_stream_broke_between_events) {
    splitter_.append("id: 1\ndata: a\n\n");
    CHECK_FALSE(splitter_.has_partial());
    splitter_.drop_partial();
    CHECK_TRUE(splitter_.has_partial());
    splitter_.append("id: 2\ndata: b\n\n");
    CHECK_FALSE(splitter_.has_partial());
    event_splitter resumed(12);
    resumed.drop_partial();
    CHECK_FALSE(resumed.has_partial());
}

TEST(event_splitter, resumed_stream_continues_after_the_given_event) {
    event_splitter resumed(12);
    resumed.append("id: 13\ndata: n\n\n");
    CHECK_FALSE(resumed.out_of_order());
    event_splitter with_gap(12);
    with_gap.append("id: 15\ndata: n\n\n");
    CHECK_TRUE(with_gap.out_of_order());
}

TEST(event_splitter, event_without_end_is_detected_and_discarded) {
    event_splitter splitter;
    const std::string bytes(16'384, 'x');
    for (int i = 0; i < 1'000; ++i) {
        CHECK_TRUE(splitter.append(bytes).empty());
    }
    CHECK_TRUE(splitter.too_long());
    CHECK_FALSE(splitter.has_partial());
    splitter.drop_partial();
    CHECK_FALSE(splitter.too_long());
}

// Guards against an overflow when the numbers of a stream reach the limit of 64 bits.
TEST(event_splitter, event_after_the_largest_number_is_out_of_order) {
    event_splitter resumed(9223372036854775807);
    resumed.append("id: 9223372036854775807\ndata: a\n\n");
    CHECK_TRUE(resumed.out_of_order());
    event_splitter last(9223372036854775806);
    last.append("id: 9223372036854775807\ndata: a\n\n");
    CHECK_FALSE(last.out_of_order());
    last.append("id: -9223372036854775808\ndata: a\n\n");
    CHECK_TRUE(last.out_of_order());
}
