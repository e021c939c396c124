#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP_BASE(beast_upstream_connector, upstream_connector_fixture){};

TEST(beast_upstream_connector, connection_is_reused_after_a_response_with_length) {
    open_and_respond("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), listener_.body);
    listener_.clear();
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nko");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ko"), listener_.body);
    LONGS_EQUAL(1, server_.connections);
}

// Guards against a request on a connection that an earlier process with the same id left half open.
TEST(beast_upstream_connector, connection_to_an_earlier_process_is_not_reused) {
    started_at_ms_ = 1;
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    listener_.clear();
    started_at_ms_ = 2;
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, connection_with_an_extra_response_is_not_reused) {
    open_and_respond(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), listener_.body);
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, idle_connection_with_a_late_response_is_not_reused) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    server_.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    loop_.context().run_for(std::chrono::milliseconds(30));
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, truncated_chunked_response_is_a_failure) {
    open_and_respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.body == "hello"; }));
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure.has_value() && listener_.failure->sent);
}

TEST(beast_upstream_connector, response_without_length_ends_at_close_and_fails_on_reset) {
    open_and_respond("HTTP/1.1 200 OK\r\n\r\nall of it");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.body == "all of it"; }));
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    listener_.clear();
    open_and_respond("HTTP/1.1 200 OK\r\n\r\nhalf of");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.body == "half of"; }));
    server_.close(true);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure.has_value());
}

TEST(beast_upstream_connector, malformed_response_is_a_failure) {
    open_and_respond("garbage garbage garbage\r\n\r\n");
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure.has_value());
}

// Guards against an upstream whose interim responses are read until the request's deadline.
TEST(beast_upstream_connector, interim_responses_without_end_are_a_failure) {
    std::string bytes;
    for (int i = 0; i < 11'000; ++i) {
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    open_and_respond(bytes);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure.has_value());
}

TEST(beast_upstream_connector, endless_framing_line_is_a_failure) {
    const std::string filler(300'000, 'x');
    for (const char* start :
         {"HTTP/1.1 200 ",
          "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: "}) {
        listener_.clear();
        open_and_respond(start + filler);
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.failure.has_value());
        CHECK_FALSE(listener_.ended);
    }
}

TEST(beast_upstream_connector, many_interim_responses_are_skipped) {
    std::string interim_responses;
    for (int i = 0; i < 2'000; ++i) {
        interim_responses += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    open_and_respond(interim_responses);
    loop_.context().run_for(std::chrono::milliseconds(200));
    CHECK_FALSE(listener_.ended || listener_.failure.has_value());
    server_.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), listener_.body);
}

TEST(beast_upstream_connector, refused_connection_reports_that_nothing_was_sent) {
    upstream_entry unreachable;
    unreachable.id = "i-2";
    unreachable.address = free_address();
    exchange_ = connector_.open(unreachable, "GET / HTTP/1.1\r\n\r\n", nullptr,
                                {true, connect_limit}, listener_);
    CHECK_TRUE(ended());
    CHECK_FALSE(listener_.failure->sent);
}

TEST(beast_upstream_connector,
     response_before_the_body_is_read_is_delivered_and_connection_is_not_reused) {
    open(unsendable_body_bytes);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\nno");
    CHECK_TRUE(ended());
    LONGS_EQUAL(429, listener_.head.status);
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, cancelled_exchange_closes_its_connection) {
    open();
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    exchange_.reset();
    CHECK_TRUE(run_until(loop_, [&] { return server_.closed; }));
}

TEST(beast_upstream_connector, exchange_with_new_connection_does_not_reuse_an_idle_one) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    listener_.clear();
    open(0, true);
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

// Guards against a stale answer on a kept connection that cannot be told from the answer on a new
// one.
TEST(beast_upstream_connector, exchange_tells_whether_its_connection_was_reused) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_FALSE(exchange_->reused_connection());
    CHECK_TRUE(ended());
    listener_.clear();
    open_and_respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(ended());
    CHECK_TRUE(exchange_->reused_connection());
    LONGS_EQUAL(1, server_.connections);
}

// Guards against the reuse of a connection on which an answer was rejected: what follows the
// answer belongs to no request either.
TEST(beast_upstream_connector, connection_of_a_cancelled_response_is_not_reused) {
    open_and_respond("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nno");
    CHECK_TRUE(run_until(loop_, [&] { return listener_.head.status == 503; }));
    exchange_.reset();
    CHECK_TRUE(run_until(loop_, [&] { return server_.closed; }));
    listener_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

// Guards against a failure after an interim response that is taken for a success, or whose head
// reaches the listener as a body.
TEST(beast_upstream_connector, failure_after_an_interim_response_is_delivered_as_a_failure) {
    const std::string interim = "HTTP/1.1 102 Processing\r\nX-Not-Executed: 1\r\n\r\n";
    for (const char* failure :
         {"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nbusy",
          "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"}) {
        listener_.clear();
        open_and_respond(interim + failure);
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.ended);
        LONGS_EQUAL(500, listener_.head.status);
        CHECK_TRUE(find_header(listener_.head.headers, "X-Not-Executed") == nullptr);
        CHECK_EQUAL(std::string("busy"), listener_.body);
    }
}

// Guards against a false end of a stream: the connection ends inside the head or a chunk.
TEST(beast_upstream_connector, response_that_ends_inside_its_head_or_framing_is_a_failure) {
    for (const char* part :
         {"HTTP/1.1 200 OK\r\nX-A: b", "HTTP/1.1 102 Processing\r\n\r\n",
          "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n",
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nid: 1\n"}) {
        listener_.clear();
        const int connections = server_.connections;
        open_and_respond(part);
        LONGS_EQUAL(connections + 1, server_.connections);
        loop_.context().run_for(std::chrono::milliseconds(20));
        server_.close(false);
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.failure.has_value());
        CHECK_FALSE(listener_.ended);
    }
}

// Guards against a report to a listener that was given up when its attempt could not be opened.
TEST(beast_upstream_connector, attempt_that_cannot_be_opened_reports_nothing_later) {
    upstream_entry upstream;
    upstream.id = "i-1";
    upstream.address = {"999.0.0.1", 80};
    CHECK_THROWS(std::exception, connector_.open(upstream, "GET / HTTP/1.1\r\n\r\n", nullptr,
                                                 {true, std::chrono::milliseconds(20)}, listener_));
    loop_.context().run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(listener_.failure.has_value());
}

// Guards against a connection that ends because a sound upstream reads a long body slowly: the
// kernel counts a window that stays closed as unacknowledged data.
TEST(beast_upstream_connector, upstream_that_stops_reading_for_four_seconds_keeps_its_connection) {
    server_.pause_reading();
    constexpr std::size_t body_bytes = 16'000'000;
    open(body_bytes);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    loop_.context().run_for(std::chrono::milliseconds(4'200));
    CHECK_FALSE(listener_.failure.has_value());
    server_.resume_reading();
    CHECK_TRUE(run_until(loop_, [&] { return server_.received.size() > body_bytes; }));
    server_.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), listener_.body);
}
