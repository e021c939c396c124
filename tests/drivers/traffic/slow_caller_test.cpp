#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>

#include "drivers/control/control_loop.hpp"
#include "tests/drivers/traffic/caller_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

constexpr int small_receive_buffer = 4'096;
/// More than the buffers of the kernel and of the client hold together.
constexpr std::size_t large_answer_bytes = 8'000'000;
/// The kernel accepts this much at once, but the client's buffer does not hold it.
constexpr std::size_t accepted_answer_bytes = 1'000'000;
const char* const get_request = "GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\n\r\n";

}  // namespace

TEST_GROUP_BASE(slow_caller, caller_fixture){void setup() override{caller_fixture::setup();
client_ = std::make_unique<raw_client>(loop_, address_, small_receive_buffer);
}

bool received_bytes(std::size_t count) {
    return run_until(loop_, [&] { return client_->received.size() >= count; });
}
void run_for(duration time) {
    loop_.context().run_for(time);
}
}
;

// Guards against an answer that is cut because its caller read nothing for some seconds.
TEST(slow_caller, caller_that_stops_reading_for_four_seconds_receives_the_whole_answer) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(large_answer_bytes, 'x'));
    run_for(std::chrono::milliseconds(4'000));
    client_->resume_reading();
    CHECK_TRUE(received_bytes(large_answer_bytes));
    LONGS_EQUAL(0, log_.count("answer_cut"));
}

TEST(slow_caller, caller_that_vanishes_during_its_answer_is_noticed) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    CHECK_TRUE(client_->expect("id: 1"));
    client_->vanish();
    handler_.sinks[0]->write("id: 2\n\n");
    CHECK_TRUE(run_until(loop_, [&] { return handler_.ended == 1; }));
    STRCMP_CONTAINS("answer_cut request=42 cause=caller_unreachable", log_.lines.back().c_str());
}

TEST(slow_caller, caller_that_vanishes_while_it_waits_is_noticed) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->vanish();
    CHECK_TRUE(run_until(loop_, [&] { return handler_.ended == 1; }));
    STRCMP_CONTAINS("answer_cut request=42 cause=caller_unreachable", log_.lines.back().c_str());
}

TEST(slow_caller, caller_that_never_reads_its_answer_is_closed_after_the_idle_time_out) {
    limits_.idle_timeout = std::chrono::milliseconds(1'000);
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(large_answer_bytes, 'x'));
    CHECK_TRUE(run_until(loop_, [&] { return handler_.ended == 1; }));
    STRCMP_CONTAINS("answer_cut request=42 cause=caller_stalled", log_.lines.back().c_str());
}

// Guards against a stall that is counted from before the answer had anything to send.
TEST(slow_caller, pause_of_a_stream_does_not_count_as_a_stall_of_its_caller) {
    limits_.idle_timeout = std::chrono::milliseconds(1'500);
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    run_for(std::chrono::milliseconds(2'200));
    client_->stop_reading();
    const std::size_t before = client_->received.size();
    handler_.sinks[0]->write(std::string(3'000'000, 'x'));
    run_for(std::chrono::milliseconds(800));
    client_->resume_reading();
    CHECK_TRUE(received_bytes(before + 3'000'000));
    LONGS_EQUAL(0, log_.count("answer_cut"));
}

// Guards against a large last answer whose tail is lost because the connection closes 500 ms after
// the kernel accepted it.
TEST(slow_caller, last_answer_is_received_whole_although_input_is_left_unread) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(accepted_answer_bytes, 'x'));
    run_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(1, handler_.ended);
    run_for(std::chrono::milliseconds(1'200));
    client_->send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    client_->resume_reading();
    CHECK_TRUE(received_bytes(accepted_answer_bytes));
    CHECK_TRUE(client_->expect_close());
    CHECK_TRUE(client_->end_error == boost::asio::error::eof);
}

// Guards against a rejection that its caller cannot read because it is still sending the body.
TEST(slow_caller, rejection_is_received_although_the_body_is_still_being_sent) {
    limits_.body_bytes = 10;
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n");
    client_->stop_reading();
    for (int i = 0; i < 15; ++i) {
        run_for(std::chrono::milliseconds(100));
        CHECK_TRUE(client_->try_send(std::string(100'000, 'x')));
    }
    client_->resume_reading();
    CHECK_TRUE(client_->expect("413"));
    CHECK_TRUE(client_->expect_close());
    CHECK_TRUE(client_->end_error == boost::asio::error::eof);
}

// Guards against connections that stay open because their caller never stops sending.
TEST(slow_caller, rejected_caller_that_sends_on_and_on_is_closed) {
    limits_.body_bytes = 10;
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000000\r\n\r\n");
    CHECK_TRUE(client_->expect("413"));
    const instant began = loop_.now();
    while (server_->connections() > 0 && loop_.now() - began < std::chrono::seconds(15)) {
        (void)client_->try_send(std::string(1'000, 'x'));
        run_for(std::chrono::milliseconds(50));
    }
    LONGS_EQUAL(0, server_->connections());
}

// Guards against an answer whose tail is lost when the host closes idle connections.
TEST(slow_caller, answer_is_received_whole_although_idle_connections_are_closed) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(accepted_answer_bytes, 'x'));
    run_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(1, handler_.ended);
    client_->send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    server_->close_idle();
    client_->resume_reading();
    CHECK_TRUE(received_bytes(accepted_answer_bytes));
}

// Guards against a host that stops before its callers have received their answers.
TEST(slow_caller, answer_on_the_way_counts_as_active_until_it_is_received) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(accepted_answer_bytes, 'x'));
    run_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(1, handler_.ended);
    LONGS_EQUAL(1, server_->active_requests());
    client_->resume_reading();
    CHECK_TRUE(received_bytes(accepted_answer_bytes));
    CHECK_TRUE(run_until(loop_, [&] { return server_->active_requests() == 0; }));
}

// Guards against an answer whose tail is lost when the process ends.
TEST(slow_caller, answer_is_received_whole_although_the_process_ends) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(accepted_answer_bytes, 'x'));
    run_for(std::chrono::milliseconds(300));
    client_->send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    std::thread reader([&] { client_->read_blocking(accepted_answer_bytes); });
    server_.reset();
    reader.join();
    CHECK_TRUE(client_->received.size() >= accepted_answer_bytes);
}

// Guards against callers that do not read their answers, which together take the memory of the
// process.
TEST(slow_caller, largest_unread_answer_is_cut_when_answers_exceed_their_memory) {
    client_->send(get_request);
    CHECK_TRUE(requests_received(1));
    client_->stop_reading();
    handler_.sinks[0]->send(ok(), std::string(large_answer_bytes * 2, 'x'));
    raw_client other(loop_, address_);
    other.send(get_request);
    CHECK_TRUE(requests_received(2));
    handler_.sinks[1]->send(ok(), std::string(large_answer_bytes, 'x'));
    CHECK_TRUE(run_until(loop_, [&] { return other.received.size() >= large_answer_bytes; }));
    STRCMP_CONTAINS("answer_cut request=42 cause=output_limit", log_.lines.back().c_str());
    CHECK_TRUE(run_until(loop_, [&] { return memory_.used() == 0; }));
}
