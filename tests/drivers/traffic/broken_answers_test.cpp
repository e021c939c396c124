/// @file
/// Answers of upstreams that must not reach a caller as answers.

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

struct broken_answers_fixture : upstream_connector_fixture {
    /// Fails unless the exchange fails before anything of the answer is delivered.
    void check_nothing_delivered(const std::string& answer) {
        listener_.clear();
        open_and_respond(answer);
        CHECK_TRUE_TEXT(ended(), answer.c_str());
        CHECK_TRUE_TEXT(listener_.failure.has_value(), answer.c_str());
        LONGS_EQUAL_TEXT(0, listener_.head.status, answer.c_str());
        CHECK_EQUAL(std::string(), listener_.body);
    }
};

}  // namespace

TEST_GROUP_BASE(broken_answers, broken_answers_fixture){};

TEST(broken_answers, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_nothing_delivered("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(broken_answers, invalid_status_after_an_interim_response_is_a_failure) {
    check_nothing_delivered(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok");
}

// No request asks for another protocol, so the bytes after such a response have no known meaning.
TEST(broken_answers, change_of_the_protocol_is_a_failure) {
    check_nothing_delivered(
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

TEST(broken_answers, invalid_status_on_a_reused_connection_is_a_failure) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    check_nothing_delivered("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(listener_.failure->reused_connection);
    LONGS_EQUAL(1, server_.connections);
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}
