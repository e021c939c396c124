#include <CppUTest/TestHarness.h>

#include <functional>
#include <stdexcept>
#include <string>

#include "drivers/control/control_loop.hpp"
#include "tests/drivers/traffic/caller_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

const char* const get_request = "GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\n\r\n";

}  // namespace

TEST_GROUP_BASE(connection_end, caller_fixture){
    /// Waits for the log line of the only connection that ended early.
    const std::string &
    cut_line(){CHECK_TRUE(run_until(loop_, [&] { return log_.count("answer_cut") > 0; }));
LONGS_EQUAL(1, log_.count("answer_cut"));
return log_.lines.back();
}
void check_cut(const char* fields) {
    STRCMP_CONTAINS(fields, cut_line().c_str());
}
bool counted(const std::string& cause) {
    return metrics_.prometheus_text({}).find("fuchsiaquay_answers_cut_total{cause=\"" + cause +
                                             "\"} 1\n") != std::string::npos;
}
}
;

// Guards against a request whose caller left and whose log does not say so.
TEST(connection_end, caller_that_closes_before_its_answer_is_logged_as_caller_closed) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->close();
    check_cut(
        "answer_cut request=42 cause=caller_closed reason=receive: End of file "
        "request_read=yes passed_on=yes answer_ready=no accepted_bytes=0 buffered_bytes=0");
    CHECK_TRUE(counted("caller_closed"));
    STRCMP_EQUAL("caller_closed by_caller=1", handler_.lost_connections.at(0).c_str());
}

// Guards against a half-closed connection that the log does not tell from a failure of this host.
TEST(connection_end, caller_that_closes_its_sending_half_is_logged_as_caller_closed) {
    client_->send(get_request);
    client_->close_sending_half();
    check_cut("answer_cut request=42 cause=caller_closed");
}

// Guards against a reset by the caller that looks like one by this host.
TEST(connection_end, reset_by_the_caller_is_logged_with_the_part_of_the_answer_that_was_sent) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    CHECK_TRUE(client_->expect("id: 1"));
    client_->reset();
    const std::string line = cut_line();
    STRCMP_CONTAINS("cause=caller_reset reason=receive: Connection reset by peer", line.c_str());
    CHECK_TRUE(line.find("accepted_bytes=0") == std::string::npos);
}

// Guards against an answer that this host broke off and that is logged as the caller's doing.
TEST(connection_end, answer_that_this_host_breaks_off_is_logged_as_answer_broken) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    handler_.sinks[0]->abort();
    check_cut("answer_cut request=42 cause=answer_broken");
    CHECK_TRUE(counted("answer_broken"));
}

// Guards against a buffer limit that is logged as an answer that the upstream broke off.
TEST(connection_end, answer_beyond_the_buffer_of_a_slow_caller_is_logged_as_output_limit) {
    client_->stop_reading();
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    for (int i = 0; i < 200 && log_.count("answer_cut") == 0; ++i) {
        handler_.sinks[0]->write(std::string(100'000, 'x'));
        loop_.context().run_for(std::chrono::milliseconds(1));
    }
    const std::string line = cut_line();
    STRCMP_CONTAINS("cause=output_limit", line.c_str());
    CHECK_TRUE(line.find("buffered_bytes=0") == std::string::npos);
}

// Guards against requests that were cut when the process ended and that no log line names.
TEST(connection_end, requests_that_are_open_at_the_end_of_the_process_are_logged_as_host_ended) {
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\nContent-Length: 9\r\n\r\nhe");
    loop_.context().run_for(std::chrono::milliseconds(50));
    server_.reset();
    check_cut(
        "answer_cut request=42 cause=host_ended reason= request_read=no passed_on=no "
        "answer_ready=no");
}

// Guards against a complete answer that never left this host and is only logged as answered.
TEST(connection_end, complete_answer_that_was_not_sent_yet_is_logged) {
    client_->stop_reading();
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->send(ok(), std::string(8'000'000, 'x'));
    loop_.context().run_for(std::chrono::milliseconds(50));
    server_.reset();
    const std::string line = cut_line();
    STRCMP_CONTAINS("cause=host_ended reason= request_read=yes passed_on=yes answer_ready=yes",
                    line.c_str());
    CHECK_TRUE(line.find("buffered_bytes=0") == std::string::npos);
}

TEST(connection_end, part_of_a_head_is_logged_as_header_timeout) {
    limits_.header_timeout = std::chrono::milliseconds(100);
    client_->send("GET / HT");
    check_cut("answer_cut request= cause=header_timeout reason= request_read=no passed_on=no");
}

TEST(connection_end, rejected_request_is_logged_with_its_id) {
    limits_.body_bytes = 10;
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\nContent-Length: 11\r\n\r\n");
    CHECK_TRUE(client_->expect("413"));
    LONGS_EQUAL(1, log_.count("request_rejected request=42 status=413 reason=body_too_large"));
}

TEST(connection_end, connection_without_an_open_request_leaves_no_line) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->send(ok(), "answer");
    CHECK_TRUE(client_->expect("answer"));
    client_->close();
    loop_.context().run_for(std::chrono::milliseconds(50));
    server_.reset();
    LONGS_EQUAL(0, log_.count("answer_cut"));
}

// Guards against a request that hangs for good after an exception of its handler.
TEST(connection_end, exception_of_the_handler_closes_the_connection_and_is_logged) {
    handler_.fails = true;
    client_->send(get_request);
    CHECK_THROWS(std::runtime_error, requests_received(1));
    check_cut("answer_cut request=42 cause=handler_failed reason=serve: broken");
    CHECK_TRUE(client_->expect_close());
}

// Guards against a pipelined request that hangs after an exception of its handler.
TEST(connection_end, exception_for_a_pipelined_request_closes_the_connection_and_is_logged) {
    client_->send(std::string(get_request) + "GET / HTTP/1.1\r\nX-Attempt-Id: 43\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    handler_.fails = true;
    handler_.sinks[0]->send(ok(), "answer");
    CHECK_THROWS(std::runtime_error, requests_received(2));
    check_cut("answer_cut request=43 cause=handler_failed reason=serve: broken");
    CHECK_TRUE(client_->expect_close());
}

// Guards against a request that hangs for good because its body stops arriving.
TEST(connection_end, body_that_stops_arriving_is_refused_after_the_idle_time_out) {
    limits_.idle_timeout = std::chrono::milliseconds(500);
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\nContent-Length: 9\r\n\r\nhe");
    CHECK_TRUE(client_->expect("408"));
    CHECK_TRUE(client_->expect_close());
    LONGS_EQUAL(0, memory_.used());
    LONGS_EQUAL(1, log_.count("request_rejected request=42 status=408 reason=body_timeout"));
}
