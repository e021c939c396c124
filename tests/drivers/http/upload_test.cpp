#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/drivers/http/http_client_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP_BASE(http_client_upload, http_client_fixture){};

TEST(http_client_upload, answer_that_is_reset_during_the_upload_is_a_failure) {
    constexpr std::size_t unsendable_body_bytes = 48'000'000;
    server_.pause_reading();
    web::http::http_request message(web::http::methods::POST);
    message.set_body(std::string(unsendable_body_bytes, 'b'));
    CHECK_FALSE(call("HTTP/1.1 200 OK\r\n\r\nhalf of", true, message)->failure.empty());
}
