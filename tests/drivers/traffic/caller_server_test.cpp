#include "drivers/traffic/caller_server.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "drivers/traffic/body_budget.hpp"
#include "platform/platform_request_format.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/request_handler.hpp"
#include "servers/relay/response_sink.hpp"
#include "tests/drivers/traffic/raw_client.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// Records requests, so that the test can respond to them.
class recording_handler final : public request_handler {
public:
    class request_handle final : public active_request {
    public:
        explicit request_handle(int& ended_count) : ended_count_(ended_count) {}
        request_handle(const request_handle&) = delete;
        request_handle& operator=(const request_handle&) = delete;
        ~request_handle() override { ++ended_count_; }

    private:
        int& ended_count_;
    };

    std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) override {
        requests.push_back(std::move(request));
        sinks.push_back(&sink);
        return std::make_unique<request_handle>(ended);
    }

    std::vector<caller_request> requests;
    std::vector<response_sink*> sinks;
    int ended = 0;
};

response_head ok() {
    response_head head;
    head.status = 200;
    head.reason = "OK";
    return head;
}

}  // namespace

TEST_GROUP(caller_server) {
    control_loop loop_;
    platform_request_format format_;
    recording_handler handler_;
    body_budget bodies_{5'000'000};
    caller_limits limits_;
    bool stopping_ = false;
    network_address address_ = free_address();
    std::unique_ptr<caller_server> server_;
    std::unique_ptr<raw_client> client_;

    void setup() override {
        server_ = std::make_unique<caller_server>(
            caller_services{loop_, format_, handler_, bodies_, [this] { return limits_; },
                            [this] { return stopping_; }},
            address_);
        client_ = std::make_unique<raw_client>(loop_, address_);
    }

    bool requests_received(std::size_t count) {
        return run_until(loop_, [&] { return handler_.requests.size() >= count; });
    }
    /// True when `bytes` lead to a response with `status` and no request reaches the handler.
    bool rejected(const std::string& bytes, const char* status) {
        client_ = std::make_unique<raw_client>(loop_, address_);
        client_->send(bytes);
        return client_->expect(status) && client_->expect_close() && handler_.requests.empty();
    }
};

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
    limits_.body_bytes = 10'000'000;
    CHECK_TRUE(rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000001\r\n\r\n", "503"));
    LONGS_EQUAL(0, bodies_.used());
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
    LONGS_EQUAL(5 * callers, bodies_.used());
    limits_.body_bytes = 10'000'000;
    const std::string large(6'000'000, 'x');
    raw_client large_client(loop_, address_);
    large_client.send(head + "5b8d80\r\n");
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
    CHECK_TRUE(run_until(loop_, [&] { return bodies_.used() == 0; }));
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
