#include "drivers/traffic/caller_server.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/drivers/traffic/caller_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP_BASE(caller_server, caller_fixture){
    /// True when `bytes` lead to a response with `status` and no request reaches the handler.
    bool rejected(const std::string& bytes,
                  const char* status){client_ = std::make_unique<raw_client>(loop_, address_);
client_->send(bytes);
return client_->expect(status) && client_->expect_close() && handler_.requests.empty();
}
}
;

TEST(caller_server, request_sent_in_pieces_is_assembled) {
    client_->send("POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Att");
    loop_.context().run_for(std::chrono::milliseconds(20));
    client_->send("empt-Id: 42\r\nContent-Length: 5\r\n\r\nhe");
    loop_.context().run_for(std::chrono::milliseconds(20));
    client_->send("llo");
    CHECK_TRUE(requests_received(1));
    CHECK_EQUAL(std::string("/a/b?c"), handler_.requests[0].target);
    CHECK_EQUAL(std::string("hello"), *handler_.requests[0].body);
    CHECK_EQUAL(std::string("42"), handler_.requests[0].id);
}

TEST(caller_server, chunked_body_is_decoded) {
    client_->send(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    CHECK_EQUAL(std::string("hello world"), *handler_.requests[0].body);
}

TEST(caller_server, pipelined_requests_are_served_in_order) {
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    client_->send(request + request);
    CHECK_TRUE(requests_received(1));
    LONGS_EQUAL(1, handler_.requests.size());
    handler_.sinks[0]->send(ok(), "first");
    CHECK_TRUE(requests_received(2));
    handler_.sinks[1]->send(ok(), "second");
    CHECK_TRUE(client_->expect("second"));
}

TEST(caller_server, ambiguous_or_malformed_framing_is_rejected) {
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    CHECK_TRUE(rejected(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"));
    CHECK_TRUE(
        rejected(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"));
    CHECK_TRUE(
        rejected(head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "400"));
    CHECK_TRUE(
        rejected(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", "400"));
    CHECK_TRUE(rejected(head + "Content-Length: -1\r\n\r\n", "400"));
    CHECK_TRUE(rejected("GET / HTTP/1.1\nHost: h\n\n", "400"));
    CHECK_TRUE(rejected("GET / HTTP/1.1\r\nHost: h\r\nBad Header: x\r\n\r\n", "400"));
}

TEST(caller_server, head_and_body_beyond_the_limits_are_rejected) {
    CHECK_TRUE(rejected("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(20'000, 'a'), "431"));
    limits_.body_bytes = 10;
    CHECK_TRUE(rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", "413"));
}

TEST(caller_server, body_beyond_the_memory_budget_is_rejected_with_503) {
    limits_.body_bytes = 40'000'000;
    CHECK_TRUE(rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000001\r\n\r\n", "503"));
    LONGS_EQUAL(0, memory_.used());
}

TEST(caller_server, chunked_bodies_reserve_memory_as_they_grow_and_release_it) {
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<std::unique_ptr<raw_client>> clients;
    constexpr std::size_t callers = 40;
    for (std::size_t i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<raw_client>(loop_, address_));
        clients.back()->send(head + "5\r\nhello\r\n0\r\n\r\n");
    }
    CHECK_TRUE(requests_received(callers));
    LONGS_EQUAL(5 * callers, memory_.used());
    limits_.body_bytes = 40'000'000;
    std::string large;
    large.resize(24'000'000, 'x');
    raw_client large_client(loop_, address_);
    large_client.send(head + "16e3600\r\n");
    for (std::size_t offset = 0; offset < large.size() && !large_client.closed; offset += 100'000) {
        large_client.send(large.substr(offset, 100'000));
        loop_.context().run_for(std::chrono::milliseconds(1));
        if (large_client.received.find("503") != std::string::npos) {
            break;
        }
    }
    CHECK_TRUE(large_client.expect("503"));
    for (const auto& client : clients) {
        client->close();
    }
    CHECK_TRUE(run_until(loop_, [&] { return memory_.used() == 0; }));
}

TEST(caller_server, disconnect_of_the_caller_ends_its_request) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    client_->close();
    CHECK_TRUE(run_until(loop_, [&] { return handler_.ended == 1; }));
}

TEST(caller_server, aborted_stream_does_not_look_complete) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->begin(ok(), "id: 1\n\n");
    CHECK_TRUE(client_->expect("id: 1"));
    handler_.sinks[0]->abort();
    CHECK_TRUE(client_->expect_close());
    CHECK_TRUE(client_->received.find("0\r\n\r\n") == std::string::npos);
}

TEST(caller_server, slow_head_and_idle_connection_are_closed) {
    limits_.header_timeout = std::chrono::milliseconds(300);
    limits_.idle_timeout = std::chrono::milliseconds(300);
    raw_client slow(loop_, address_);
    slow.send("GET / HT");
    CHECK_TRUE(slow.expect_close());
    CHECK_TRUE(client_->expect_close());
}

TEST(caller_server, response_during_shutdown_closes_the_connection) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    stopping_ = true;
    handler_.sinks[0]->send(ok(), "bye");
    CHECK_TRUE(client_->expect("Connection: close"));
    CHECK_TRUE(client_->expect("bye"));
    CHECK_TRUE(client_->expect_close());
}

// A process that stopped did not wait for requests whose body was still arriving: they were cut
// although their host had accepted the connection and read their head.
TEST(caller_server, request_counts_as_active_from_its_first_byte_until_its_response_is_sent) {
    client_->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe");
    CHECK_TRUE(run_until(loop_, [&] { return server_->active_requests() == 1; }));
    client_->send("llo");
    CHECK_TRUE(requests_received(1));
    CHECK_EQUAL(std::size_t{1}, server_->active_requests());
    handler_.sinks[0]->send(ok(), "done");
    CHECK_TRUE(client_->expect("done"));
    CHECK_TRUE(run_until(loop_, [&] { return server_->active_requests() == 0; }));
}
