#include "drivers/json/json_parser.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/operation_error.hpp"
#include "drivers/json/contract_codec.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/node_record.hpp"
#include "drivers/json/upstream_codec.hpp"

using namespace fuchsiaquay;

namespace {

std::string repeat(std::size_t count, const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

}  // namespace

TEST_GROUP(json_parser){};

TEST(json_parser, text_is_parsed) {
    CHECK_EQUAL(std::string("\xc3\xa9"), parse_json(R"({"a":"\u00e9"})").at("a").as_string());
}

// Guards against an exception of another type, which ends the process.
TEST(json_parser, malformed_surrogates_are_rejected_by_every_reader) {
    const std::string text = R"({"id":"\ud800\ud800"})";
    CHECK_THROWS(json_error, parse_json(text));
    CHECK_THROWS(json_error, indent_json(text));
    CHECK_THROWS(operation_error, parse_operator_upstream(text));
    CHECK_THROWS(operation_error, parse_node_record(text));
    CHECK_THROWS(operation_error, parse_contract(text, 1));
}

// Guards against a stack overflow that ends the process, from a text of another writer.
TEST(json_parser, text_that_nests_deeply_is_rejected_by_every_reader) {
    for (const std::size_t levels : {std::size_t{200'000}, std::size_t{50'000}}) {
        for (const std::string& text :
             {repeat(levels, "["), repeat(levels, "[") + repeat(levels, "]"),
              repeat(levels, R"({"a":)") + "1" + repeat(levels, "}"),
              R"({"id":)" + repeat(levels, "[") + repeat(levels, "]") + "}"}) {
            CHECK_THROWS(json_error, parse_json(text));
            CHECK_THROWS(json_error, indent_json(text));
            CHECK_THROWS(operation_error, parse_operator_upstream(text));
            CHECK_THROWS(operation_error, parse_node_record(text));
            CHECK_THROWS(operation_error, parse_contract(text, 1));
        }
    }
}
