#include "drivers/api/completion_body.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "drivers/api/api_limits.hpp"
#include "drivers/api/bad_request.hpp"

using namespace fuchsiaquay;

TEST_GROUP(completion_body) {
    api_limits limits_;

    completion_body parse(const std::string& text) const {
        return parse_completion(text, false, limits_);
    }
};

TEST(completion_body, prompt_and_limit_are_read) {
    const completion_body body = parse(R"({"model":"m","prompt":"p","max_tokens":7})");
    CHECK_EQUAL(std::string("p"), *body.prompt);
    LONGS_EQUAL(7, body.max_tokens);
}

// Guards against a request that ends the process.
TEST(completion_body, malformed_text_is_a_bad_request) {
    CHECK_THROWS(bad_request, parse(R"({"model":"m","prompt":"\ud800\ud800"})"));
    CHECK_THROWS(bad_request, parse(std::string(200'000, '[')));
    CHECK_THROWS(bad_request, parse(R"({"model":"m","prompt":)" + std::string(200'000, '[')));
    CHECK_THROWS(bad_request, parse("7"));
    for (const char* const limit : {"1e300", "1e400", "-1", "1.5", "99999999999999999999"}) {
        CHECK_THROWS(bad_request, parse(R"({"model":"m","prompt":"p","max_tokens":)" +
                                        std::string(limit) + "}"));
    }
}
