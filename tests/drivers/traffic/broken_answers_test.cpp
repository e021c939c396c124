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
    /// Opens an exchange with a body that does not fit into the kernel, and waits
    /// until its head has arrived.
    void begin_upload() {
        listener_.clear();
        server_.received.clear();
        server_.pause_reading();
        open(unsendable_body_bytes, true);
        CHECK_TRUE(server_.expect("\r\n\r\n"));
    }
    void check_failed(const char* reason) {
        CHECK_TRUE(ended());
        CHECK_FALSE(listener_.ended);
        CHECK_TRUE(listener_.failure.has_value());
        CHECK_TRUE(listener_.failure->sent);
        STRCMP_CONTAINS(reason, listener_.failure->reason.c_str());
        CHECK_TRUE(listener_.failure->fault != answer_fault::none);
    }
    /// Fails unless the exchange fails before anything of the answer is
    /// delivered.
    void check_nothing_delivered(answer_fault fault, const std::string& answer) {
        listener_.clear();
        open_and_respond(answer);
        CHECK_TRUE_TEXT(ended(), answer.c_str());
        CHECK_TRUE_TEXT(listener_.failure.has_value(), answer.c_str());
        LONGS_EQUAL_TEXT(0, listener_.head.status, answer.c_str());
        CHECK_EQUAL(std::string(), listener_.body);
        STRCMP_EQUAL(name_of(fault), name_of(listener_.failure->fault));
    }
};

}  // namespace

TEST_GROUP_BASE(broken_answers, broken_answers_fixture){};

TEST(broken_answers, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_nothing_delivered(answer_fault::invalid_status,
                                "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(broken_answers, invalid_status_after_an_interim_response_is_a_failure) {
    check_nothing_delivered(answer_fault::invalid_status,
                            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 "
                            "X\r\nContent-Length: 2\r\n\r\nok");
}

// No request asks for another protocol, so the bytes after such a response have
// no known meaning.
TEST(broken_answers, change_of_the_protocol_is_a_failure) {
    check_nothing_delivered(answer_fault::invalid_status,
                            "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 "
                            "200 OK\r\nContent-Length: 2\r\n\r\nok");
}

TEST(broken_answers, invalid_status_on_a_reused_connection_is_a_failure) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    check_nothing_delivered(answer_fault::invalid_status,
                            "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(listener_.failure->reused_connection);
    LONGS_EQUAL(1, server_.connections);
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(broken_answers, malformed_field_name_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_nothing_delivered(
            answer_fault::malformed,
            "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\nX-B: c\r\n\r\nok");
    }
}

TEST(broken_answers, malformed_field_name_in_a_trailer_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        listener_.clear();
        open_and_respond(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
            "chunked\r\n\r\n2\r\nok\r\n0\r\n" +
            line + "\r\n\r\n");
        check_failed("answer: ");
    }
}

// In the tests below everything arrives before the client looks at its socket again, so that the
// order of the events is fixed.
TEST(broken_answers, answer_without_length_that_is_reset_during_the_upload_is_a_failure) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.close(true);
    check_failed("reset");
}

TEST(broken_answers, partly_read_answer_without_length_that_is_reset_during_the_upload_fails) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.body == "half of"; }));
    server_.close(true);
    check_failed("reset");
}

TEST(broken_answers, answer_that_is_reset_during_the_upload_before_its_body_is_a_failure) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\n");
    server_.close(true);
    check_failed("reset");
    CHECK_EQUAL(std::string(), listener_.body);
}

// The write of the upload's next part finds the reset after the event loop has found that the
// socket is readable, so that the end of the stream is handled before the failure of the write.
TEST(broken_answers, answer_that_is_reset_between_two_parts_of_the_upload_is_a_failure) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.body == "half of"; }));
    loop_.context().run_for(std::chrono::milliseconds(50));
    // One step finds the bytes that move up at the server, and a further one writes again.
    do {
        server_.drain(65'536);
        loop_.context().poll_one();
    } while (loop_.context().poll_one() == 0);
    server_.close(true);
    check_failed("reset");
}

TEST(broken_answers, framed_answer_that_is_reset_during_the_upload_is_a_failure) {
    for (const char* start :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf of",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf of"}) {
        begin_upload();
        server_.send(start);
        server_.close(true);
        check_failed("answer: ");
    }
}

TEST(broken_answers, whole_answer_with_length_that_is_reset_during_the_upload_is_delivered) {
    begin_upload();
    server_.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
    server_.close(true);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("no"), listener_.body);
}

TEST(broken_answers, answer_without_length_that_ends_during_the_upload_is_delivered) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    server_.shut_down();
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("all of it"), listener_.body);
}

// An upstream that closes its connection with unread bytes of the upload sends
// the end of the answer first, and a reset when the rest of the upload arrives.
TEST(broken_answers, answer_without_length_that_ends_before_a_reset_is_delivered) {
    begin_upload();
    server_.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    server_.shut_down();
    server_.close(true);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("all of it"), listener_.body);
}
