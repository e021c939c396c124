#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/drivers/http/http_client_fixture.hpp"
#include "tests/drivers/traffic/broken_heads.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP_BASE(make_http_client, http_client_fixture){};

TEST(make_http_client, sound_answer_is_passed_on) {
    const auto outcome = call("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    CHECK_EQUAL(std::string(), outcome->failure);
    LONGS_EQUAL(404, outcome->status);
    CHECK_EQUAL(std::string("no"), outcome->body);
}

TEST(make_http_client, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_rejected("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(make_http_client, status_that_is_no_number_of_three_digits_is_a_failure) {
    for (const char* status : {"-36", "20", "2000", "65736", "x"}) {
        check_rejected("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(make_http_client, answer_without_length_ends_at_close_and_fails_on_reset) {
    CHECK_EQUAL(std::string("all of it"), call("HTTP/1.1 200 OK\r\n\r\nall of it")->body);
    CHECK_FALSE(call("HTTP/1.1 200 OK\r\n\r\nhalf of", true)->failure.empty());
    CHECK_FALSE(call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf of")->failure.empty());
    CHECK_FALSE(
        call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")->failure.empty());
}
