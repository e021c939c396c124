#include "platform/kv_store.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

#include "core/freshness/store_revision.hpp"
#include "servers/store/change_batch.hpp"
#include "servers/store/read_result.hpp"
#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/servers/recording_log.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

bool is_decode_error(const std::string& failure) {
    return failure.compare(0, 14, "decode (store)") == 0;
}

}  // namespace

TEST_GROUP(kv_store) {
    control_loop loop_;
    recording_log log_;
    raw_server server_{loop_};
    kv_store store_{loop_, log_, server_.address(), std::chrono::seconds(3)};

    /// Status and further fields of the next answers.
    std::string start_ = "200 OK";

    void answer(const std::string& body) {
        server_.received.clear();
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send("HTTP/1.1 " + start_ + "\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    /// Sends an answer without a length and ends the connection in order.
    void answer_until_close(const std::string& body) {
        server_.received.clear();
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send("HTTP/1.1 200 OK\r\n\r\n" + body);
        server_.close(false);
    }
    bool read_until_close(const std::string& body) {
        std::optional<read_result> result;
        store_.read_prefix("servers/", [&result](const read_result& value) { result = value; });
        answer_until_close(body);
        CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
        return result->ok();
    }
    bool poll_until_close(const std::string& body) {
        std::optional<change_batch> result;
        store_.poll("servers/", 5, std::chrono::seconds(1),
                    [&result](const change_batch& value) { result = value; });
        answer_until_close(body);
        CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
        return result->ok();
    }
    read_result read(const std::string& body) {
        std::optional<read_result> result;
        store_.read_prefix("servers/", [&result](const read_result& value) { result = value; });
        answer(body);
        CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
        return *result;
    }
    change_batch poll(const std::string& body, std::int64_t after = 5) {
        std::optional<change_batch> result;
        store_.poll("servers/", after, std::chrono::seconds(1),
                    [&result](const change_batch& value) { result = value; });
        answer(body);
        CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
        return *result;
    }
};

TEST(kv_store, page_and_changes_are_read) {
    const read_result page =
        read(R"({"store_revision":7,"items":[{"key":"servers/a","value":"eA==","revision":6}]})");
    CHECK_TRUE(page.ok());
    CHECK_EQUAL(std::string("x"), page.values.front().value);
    const change_batch changes =
        poll(R"({"store_revision":8,"events":[{"key":"servers/a","deleted":true,"revision":8}]})");
    CHECK_TRUE(changes.ok() && changes.events.front().erased);
}

// Guards against a part of an answer that is taken for all of it because its end is that of the
// connection.
TEST(kv_store, no_part_of_an_answer_that_ends_with_its_connection_is_accepted) {
    const std::string page =
        R"({"store_revision":7,"items":[{"key":"servers/a","value":"eA==","revision":6}]})";
    const std::string changes =
        R"({"store_revision":8,"events":[{"key":"servers/a","deleted":true,"revision":8}]})";
    for (std::size_t size = 0; size < page.size(); ++size) {
        CHECK_FALSE_TEXT(read_until_close(page.substr(0, size)), std::to_string(size).c_str());
    }
    for (std::size_t size = 0; size < changes.size(); ++size) {
        CHECK_FALSE_TEXT(poll_until_close(changes.substr(0, size)), std::to_string(size).c_str());
    }
    CHECK_TRUE(read_until_close(page));
    CHECK_TRUE(poll_until_close(changes));
}

// Guards against an abort of the process by an answer whose lists have another type.
TEST(kv_store, answer_with_values_of_other_types_fails) {
    for (const char* const list :
         {"7", "{}", R"("x")", "[7]", "[null]", "[[]]", "[{}]", R"([{"key":7,"revision":1}])",
          R"([{"key":"a","revision":1e300}])", R"([{"key":"a","revision":1,"value":{}}])"}) {
        const std::string text(list);
        CHECK_TRUE(is_decode_error(read(R"({"store_revision":7,"items":)" + text + "}").failure));
        CHECK_TRUE(is_decode_error(poll(R"({"store_revision":7,"events":)" + text + "}").failure));
    }
    CHECK_TRUE(is_decode_error(read("[]").failure));
    CHECK_TRUE(is_decode_error(poll("7").failure));
}

TEST(kv_store, answer_with_a_broken_head_fails) {
    std::vector<std::string> starts;
    starts.reserve(invalid_statuses.size() + malformed_field_lines.size());
    for (const std::string& status : invalid_statuses) {
        starts.push_back(status + " X");
    }
    for (const std::string& line : malformed_field_lines) {
        starts.push_back("200 OK\r\n" + line);
    }
    for (const std::string& start : starts) {
        start_ = start;
        CHECK_FALSE(read(R"({"store_revision":7,"items":[]})").ok());
        CHECK_FALSE(poll(R"({"store_revision":8,"events":[]})").ok());
    }
    LONGS_EQUAL(2 * starts.size(), store_.failure_count());
}

TEST(kv_store, value_that_is_no_base64_reads_as_empty) {
    for (const char* const value : {"!!!!", "e", "eA", "====x", "e A=", "\\u0000\\u0000"}) {
        const read_result page =
            read(R"({"store_revision":7,"items":[{"key":"servers/a","revision":6,"value":")" +
                 std::string(value) + R"("}]})");
        CHECK_TRUE(page.ok());
        CHECK_EQUAL(std::string(), page.values.front().value);
    }
}

TEST_GROUP_BASE(restored_store, TEST_GROUP_CppUTestGroupkv_store) {
    static constexpr const char* page = R"({"store_revision":7,"items":[)"
                                        R"({"key":"servers/a","value":"eA==","revision":6}]})";
    static constexpr const char* changes =
        R"({"store_revision":8,"events":[{"key":"servers/a","deleted":true,"revision":8}]})";

    void set_era(const std::string& era) {
        start_ = "200 OK\r\nStore-Era: " + era;
    }
};

// Guards against copies that stay as they are because a restored store gives out lower revisions.
TEST(restored_store, revisions_of_a_later_era_are_greater) {
    set_era("1");
    const std::int64_t before = read(page).store_revision;
    set_era("2");
    const read_result after = read(R"({"store_revision":3,"items":[{"key":"a","revision":2}]})");
    CHECK_TRUE(after.store_revision > before);
    CHECK_TRUE(after.values.front().revision > before);
    LONGS_EQUAL(3, revision_number(after.store_revision));
    LONGS_EQUAL(3, store_.era());
}

TEST(restored_store, poll_names_the_number_of_its_revision) {
    set_era("2");
    const change_batch batch = poll(changes, make_store_revision(3, 5));
    CHECK_TRUE(server_.received.find("&after=5&") != std::string::npos);
    LONGS_EQUAL(make_store_revision(3, 8), batch.store_revision);
    LONGS_EQUAL(make_store_revision(3, 8), batch.events.front().value.revision);
}

// Guards against a poll that continues from a revision that was given out again.
TEST(restored_store, history_of_an_earlier_era_is_not_available) {
    set_era("2");
    for (const std::int64_t after : {std::int64_t{5}, make_store_revision(2, 5)}) {
        const change_batch batch = poll(changes, after);
        CHECK_TRUE(batch.compacted);
        CHECK_TRUE(batch.events.empty());
    }
}

TEST(restored_store, answer_of_an_earlier_or_unknown_era_fails) {
    set_era("2");
    CHECK_TRUE(read(page).ok());
    for (const char* const era : {"1", "0", "-3", "x", "2x", "", "99999999999999999999"}) {
        set_era(era);
        CHECK_FALSE(read(page).ok());
        CHECK_FALSE(poll(changes, make_store_revision(3, 5)).ok());
    }
    start_ = "200 OK";
    CHECK_FALSE(read(page).ok());
    set_era("2");
    CHECK_TRUE(read(page).ok());
    CHECK_FALSE(poll(changes, make_store_revision(4, 5)).ok());
}

// Guards against a store that counts from 0, whose first era looks like none.
TEST(restored_store, era_that_is_named_0_is_an_era) {
    const std::int64_t unnamed = read(page).store_revision;
    set_era("0");
    const std::int64_t first = read(page).store_revision;
    CHECK_TRUE(first > unnamed);
    LONGS_EQUAL(1, era_of(first));
    start_ = "200 OK";
    CHECK_FALSE(read(page).ok());
}

TEST(restored_store, pages_of_two_eras_are_no_snapshot) {
    std::optional<read_result> result;
    store_.read_prefix("servers/", [&result](const read_result& value) { result = value; });
    set_era("1");
    answer(R"({"store_revision":7,"has_more":true,"items":[{"key":"servers/a","revision":6}]})");
    set_era("2");
    answer(page);
    CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
    CHECK_FALSE(result->ok());
}

TEST(restored_store, condition_of_an_earlier_era_does_not_hold) {
    set_era("2");
    CHECK_TRUE(read(page).ok());
    std::optional<write_result> result;
    store_.commit(compare_and_swap("hosts/a", make_store_revision(2, 6), "x"),
                  [&result](const write_result& value) { result = value; });
    CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
    CHECK_TRUE(result->outcome == write_outcome::conflict);
}

TEST(restored_store, revision_out_of_range_fails) {
    for (const char* const number : {"-1", "1000000000000"}) {
        CHECK_TRUE(is_decode_error(
            read(R"({"store_revision":)" + std::string(number) + R"(,"items":[]})").failure));
    }
}
