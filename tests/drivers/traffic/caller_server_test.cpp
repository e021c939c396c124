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

/// Keeps requests for the test to answer.
class kept_requests final : public request_handler {
public:
    class handle final : public active_request {
    public:
        explicit handle(int& left) : left_(left) {}
        handle(const handle&) = delete;
        handle& operator=(const handle&) = delete;
        ~handle() override { ++left_; }

    private:
        int& left_;
    };

    std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) override {
        requests.push_back(std::move(request));
        sinks.push_back(&sink);
        return std::make_unique<handle>(ended);
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
    kept_requests handler_;
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

    bool arrived(std::size_t count) {
        return run_until(loop_, [&] { return handler_.requests.size() >= count; });
    }
    /// True when `bytes` are answered with `status` and nothing is passed on.
    bool rejected(const std::string& bytes, const char* status) {
        client_ = std::make_unique<raw_client>(loop_, address_);
        client_->send(bytes);
        return client_->expect(status) && client_->expect_close() && handler_.requests.empty();
    }
};

TEST(caller_server, request_in_pieces_arrives_whole) {
    client_->send("POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Att");
    loop_.context().run_for(std::chrono::milliseconds(20));
    client_->send("empt-Id: 42\r\nContent-Length: 5\r\n\r\nhe");
    loop_.context().run_for(std::chrono::milliseconds(20));
    client_->send("llo");
    CHECK_TRUE(arrived(1));
    CHECK_EQUAL(std::string("/a/b?c"), handler_.requests[0].target);
    CHECK_EQUAL(std::string("hello"), *handler_.requests[0].body);
    CHECK_EQUAL(std::string("42"), handler_.requests[0].id);
}

TEST(caller_server, chunked_body_arrives_without_its_framing) {
    client_->send(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
    CHECK_TRUE(arrived(1));
    CHECK_EQUAL(std::string("hello world"), *handler_.requests[0].body);
}

TEST(caller_server, connection_carries_one_request_after_the_other) {
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    client_->send(request + request);
    CHECK_TRUE(arrived(1));
    LONGS_EQUAL(1, handler_.requests.size());
    handler_.sinks[0]->send(ok(), "first");
    CHECK_TRUE(arrived(2));
    handler_.sinks[1]->send(ok(), "second");
    CHECK_TRUE(client_->expect("second"));
}

TEST(caller_server, ambiguous_or_broken_framing_is_refused_and_passed_on_never) {
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

TEST(caller_server, head_and_body_beyond_the_limits_are_refused) {
    CHECK_TRUE(rejected("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(20'000, 'a'), "431"));
    limits_.body_bytes = 10;
    CHECK_TRUE(rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", "413"));
}

TEST(caller_server, bodies_beyond_the_memory_of_all_are_refused_as_not_run) {
    limits_.body_bytes = 10'000'000;
    CHECK_TRUE(rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000001\r\n\r\n", "503"));
    LONGS_EQUAL(0, bodies_.used());
}

TEST(caller_server, bodies_in_chunks_take_the_memory_that_they_use_and_give_it_back) {
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<std::unique_ptr<raw_client>> clients;
    constexpr std::size_t callers = 40;
    for (std::size_t i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<raw_client>(loop_, address_));
        clients.back()->send(head + "5\r\nhello\r\n0\r\n\r\n");
    }
    CHECK_TRUE(arrived(callers));
    LONGS_EQUAL(5 * callers, bodies_.used());
    limits_.body_bytes = 10'000'000;
    const std::string large(6'000'000, 'x');
    raw_client greedy(loop_, address_);
    greedy.send(head + "5b8d80\r\n");
    for (std::size_t at = 0; at < large.size() && !greedy.closed; at += 100'000) {
        greedy.send(large.substr(at, 100'000));
        loop_.context().run_for(std::chrono::milliseconds(1));
        if (greedy.received.find("503") != std::string::npos) {
            break;
        }
    }
    CHECK_TRUE(greedy.expect("503"));
    for (const auto& client : clients) {
        client->close();
    }
    CHECK_TRUE(run_until(loop_, [&] { return bodies_.used() == 0; }));
}

TEST(caller_server, caller_that_leaves_is_noticed_at_once) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(arrived(1));
    client_->close();
    CHECK_TRUE(run_until(loop_, [&] { return handler_.ended == 1; }));
}

TEST(caller_server, stream_that_is_cut_does_not_look_complete) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(arrived(1));
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

TEST(caller_server, stopping_host_ends_the_connection_with_its_answer) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(arrived(1));
    stopping_ = true;
    handler_.sinks[0]->send(ok(), "bye");
    CHECK_TRUE(client_->expect("Connection: close"));
    CHECK_TRUE(client_->expect("bye"));
    CHECK_TRUE(client_->expect_close());
}
