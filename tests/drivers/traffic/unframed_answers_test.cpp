/// @file
/// Answers with neither a length nor chunks, which end with their connections.

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

struct unframed_answers_fixture : upstream_connector_fixture {
    void begin_answer(const std::string& body) {
        open_and_respond("HTTP/1.1 200 OK\r\n\r\n" + body);
        CHECK_TRUE(run_until(loop_, [&] { return listener_.body == body; }));
    }
    void check_unconfirmed() {
        CHECK_TRUE(ended());
        CHECK_FALSE(listener_.ended);
        STRCMP_CONTAINS("answer: end not confirmed: connect: ", listener_.failure->reason.c_str());
        STRCMP_EQUAL("unconfirmed", name_of(listener_.failure->fault));
        CHECK_TRUE(listener_.failure->sent);
        CHECK_FALSE(listener_.failure->refused);
    }
};

}  // namespace

TEST_GROUP_BASE(unframed_answers, unframed_answers_fixture){};

// Guards against a part of an answer that looks complete because its upstream was killed.
TEST(unframed_answers, answer_of_an_upstream_that_has_ended_is_not_complete) {
    begin_answer("half of");
    server_.end();
    check_unconfirmed();
    CHECK_EQUAL(std::string("half of"), listener_.body);
}

TEST(unframed_answers, answer_of_an_upstream_that_has_ended_during_the_upload_is_not_complete) {
    server_.pause_reading();
    open(unsendable_body_bytes, true);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.shut_down();
    server_.end();
    check_unconfirmed();
}

TEST(unframed_answers, answer_is_complete_once_its_upstream_takes_another_connection) {
    begin_answer("all of it");
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("all of it"), listener_.body);
    LONGS_EQUAL(2, server_.connections);
}

TEST(unframed_answers, connection_that_confirmed_an_end_is_reused) {
    begin_answer("one");
    server_.close(false);
    CHECK_TRUE(ended());
    listener_.clear();
    begin_answer("two");
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(exchange_->reused_connection());
    LONGS_EQUAL(3, server_.connections);
}

TEST(unframed_answers, cancelled_exchange_confirms_nothing) {
    begin_answer("all of it");
    server_.close(false);
    loop_.context().run_for(std::chrono::milliseconds(2));
    exchange_.reset();
    loop_.context().run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(listener_.ended);
    CHECK_FALSE(listener_.failure.has_value());
    LONGS_EQUAL(1, server_.connections);
}
