#include "platform/json_fields.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/operation_error.hpp"

using namespace fuchsiaquay;

namespace {

/// `levels` copies of `open`, then `inner`, then as many copies of `close`.
std::string nest(std::size_t levels, const std::string& open, const std::string& inner,
                 const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += open;
    }
    text += inner;
    for (std::size_t i = 0; i < levels; ++i) {
        text += close;
    }
    return text;
}

/// Returns an empty string when the text is accepted.
std::string error_of(const std::string& text) {
    try {
        parse_json_object(text, "text");
        return "";
    } catch (const operation_error& error) {
        return error.what();
    }
}

}  // namespace

TEST_GROUP(json_fields){};

// Guards against a stack overflow that ends the process, from a text of another writer.
TEST(json_fields, text_that_nests_deeply_is_rejected) {
    for (const std::size_t levels : {std::size_t{200'000}, std::size_t{50'000}}) {
        for (const char* const close : {"}", ""}) {
            CHECK_FALSE(error_of(nest(levels, R"({"a":)", "1", close)).empty());
        }
        for (const char* const close : {"]", ""}) {
            const std::string list = nest(levels, "[", "", close);
            CHECK_FALSE(error_of(list).empty());
            CHECK_FALSE(error_of(R"({"a":)" + list + "}").empty());
        }
        CHECK_FALSE(error_of(nest(levels, R"([{"a":)", "1", "}]")).empty());
    }
}

TEST(json_fields, text_of_the_maximum_depth_is_accepted_and_a_deeper_one_is_named) {
    const std::string at_limit = nest(max_json_depth, R"({"a":)", "1", "}");
    CHECK_EQUAL(std::string(), error_of(at_limit));
    CHECK_EQUAL(std::string("decode (store): text nests more than 128 levels deep"),
                error_of(R"({"a":)" + at_limit + "}"));
}

TEST(json_fields, malformed_text_is_named_with_its_position) {
    CHECK_EQUAL(std::string("decode (store): text is not JSON, at byte 5"), error_of(R"({"a":x})"));
    CHECK_EQUAL(std::string("decode (store): text is not a JSON object"), error_of("[]"));
}

TEST(json_fields, number_beyond_a_double_is_rejected) {
    for (const std::string& number : {std::string("1e400"), std::string(400, '9')}) {
        CHECK_FALSE(error_of(R"({"a":)" + number + "}").empty());
    }
}

// Guards against an abort of the process by an answer that holds a list of numbers, not of objects.
TEST(json_fields, member_of_a_value_that_is_no_object_is_rejected) {
    for (const char* const text : {"[]", "7", "null", R"("x")", "true", "1.5"}) {
        const rapidjson::Document outer =
            parse_json_object(R"({"item":)" + std::string(text) + "}", "text");
        CHECK_THROWS(operation_error, find_member(outer["item"], "key"));
        CHECK_THROWS(operation_error, string_member(outer["item"], "key"));
        CHECK_THROWS(operation_error, integer_member_or(outer["item"], "key", 1));
    }
}

TEST(json_fields, member_that_is_no_array_is_rejected) {
    const rapidjson::Document document = parse_json_object(R"({"a":{},"b":7,"c":[1]})", "text");
    CHECK_THROWS(operation_error, array_member(document, "a"));
    CHECK_THROWS(operation_error, array_member(document, "b"));
    LONGS_EQUAL(1, array_member(document, "c")->Size());
    CHECK_TRUE(array_member(document, "d") == nullptr);
}
