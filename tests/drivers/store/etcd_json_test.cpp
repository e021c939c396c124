#include "drivers/store/etcd_json.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/operation_error.hpp"
#include "drivers/json/json_parser.hpp"

using namespace fuchsiaquay;

TEST_GROUP(etcd_json){};

TEST(etcd_json, integers_are_read_from_texts_and_numbers) {
    LONGS_EQUAL(7, parse_lease(parse_json(R"({"ID":"7"})")));
    CHECK_TRUE(parse_keep_alive(parse_json(R"({"result":{"TTL":"5"}})")));
    CHECK_TRUE(parse_keep_alive(parse_json(R"({"TTL":5})")));
    CHECK_FALSE(parse_keep_alive(parse_json(R"({"result":{}})")));
}

// Guards against an exception in a handler of the control loop, which ends the process.
TEST(etcd_json, integer_out_of_range_makes_an_answer_malformed) {
    for (const char* const number : {R"("x")", R"("")", R"("99999999999999999999")", R"("1.5")",
                                     R"("7x")", "1e300", "1e400", "99999999999999999999"}) {
        const std::string text(number);
        CHECK_THROWS(operation_error, integer_field(parse_json(R"({"a":)" + text + "}"), "a"));
        LONGS_EQUAL(0, parse_lease(parse_json(R"({"ID":)" + text + "}")));
        CHECK_FALSE(parse_keep_alive(parse_json(R"({"result":{"TTL":)" + text + "}}")));
        CHECK_FALSE(parse_range(parse_json(R"({"header":{"revision":)" + text + "}}")).ok());
        CHECK_THROWS(
            operation_error,
            parse_watch_line(R"({"result":{"events":[{"kv":{"mod_revision":)" + text + "}}]}}"));
    }
}

TEST(etcd_json, line_that_is_malformed_is_rejected) {
    for (const std::string& line : {std::string(200'000, '['), std::string("{}"), std::string("7"),
                                    std::string(), std::string(R"({"result":{"canceled":true}})"),
                                    std::string(R"({"result":"\ud800\ud800"})")}) {
        CHECK_THROWS(operation_error, parse_watch_line(line));
    }
}
