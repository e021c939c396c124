#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/drivers/traffic/caller_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

constexpr std::size_t memory_limit = 20'000'000;
constexpr std::size_t large_body = 4'000'000;
constexpr std::size_t piece = 100'000;

std::string chunked_head(const std::string& key) {
    return "POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\nAuthorization: Token " + key +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

}  // namespace

/// Callers that send many large bodies, stop short of the end, and stay connected.
TEST_GROUP_BASE(caller_crowd, caller_fixture) {
    /// Adds a caller that stops one byte before the end of its body.
    raw_client& add_caller(const std::string& key) {
        crowd_.push_back(std::make_unique<raw_client>(loop_, address_));
        raw_client& client = *crowd_.back();
        client.send(chunked_head(key) + "3d0900\r\n");
        const std::string body(large_body - 1, 'x');
        for (std::size_t sent = 0; sent < body.size(); sent += piece) {
            client.send(body.substr(sent, piece));
            loop_.context().run_for(std::chrono::milliseconds(1));
        }
        return client;
    }

    std::size_t count(const std::string& text) {
        std::size_t found = 0;
        for (const auto& client : crowd_) {
            found += client->received.find(text) != std::string::npos ? 1 : 0;
        }
        return found;
    }

    std::vector<std::unique_ptr<raw_client>> crowd_;
};

TEST(caller_crowd, refused_body_is_released_while_its_connection_stays_open) {
    for (int i = 0; i < 12; ++i) {
        add_caller("k");
    }
    CHECK_TRUE(run_until(loop_, [&] { return count("503") >= 6; }));
    CHECK_TRUE(memory_.used() <= memory_limit);
    CHECK_TRUE(memory_.cuts() >= 6);
}

TEST(caller_crowd, small_body_of_another_caller_is_served_while_the_memory_is_full) {
    for (int i = 0; i < 8; ++i) {
        add_caller("crowd");
    }
    CHECK_TRUE(run_until(loop_, [&] { return count("503") > 0; }));
    client_->send(chunked_head("calm") + "5\r\nhello\r\n0\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    CHECK_EQUAL(std::string("hello"), *handler_.requests[0].body);
}

TEST(caller_crowd, unknown_key_is_refused_before_its_body_arrives) {
    client_->send(chunked_head("unknown") + "5\r\nhe");
    CHECK_TRUE(client_->expect("401"));
    CHECK_TRUE(client_->expect("unknown_key"));
    LONGS_EQUAL(0, memory_.used());
    client_->send("llo\r\n0\r\n\r\n");
    CHECK_TRUE(client_->expect_close());
    LONGS_EQUAL(0, handler_.requests.size());
}

// Whole bodies that wait for an engine.
TEST(caller_crowd, waiting_request_that_has_not_run_is_refused_when_the_memory_is_exceeded) {
    handler_.passes_on = false;
    for (int i = 0; i < 3; ++i) {
        add_caller("k").send("x\r\n0\r\n\r\n");
        CHECK_TRUE(requests_received(i + 1));
    }
    for (int i = 0; i < 4; ++i) {
        add_caller("k").send("x\r\n0\r\n\r\n");
    }
    CHECK_TRUE(run_until(loop_, [&] { return count("503") > 0; }));
    CHECK_TRUE(memory_.used() <= memory_limit);
}

TEST(caller_crowd, request_that_was_passed_on_is_kept_when_the_memory_is_exceeded) {
    add_caller("k").send("x\r\n0\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    for (int i = 0; i < 8; ++i) {
        add_caller("k");
    }
    CHECK_TRUE(run_until(loop_, [&] { return count("503") > 0; }));
    LONGS_EQUAL(0, handler_.ended);
    handler_.sinks[0]->send(ok(), "served");
    CHECK_TRUE(crowd_[0]->expect("served"));
}

TEST(caller_crowd, body_that_takes_longer_than_its_limit_is_refused_though_it_is_never_silent) {
    limits_.body_timeout = std::chrono::milliseconds(300);
    client_->send(chunked_head("k"));
    for (int i = 0; i < 40 && client_->received.empty(); ++i) {
        client_->send("1\r\nx\r\n");
        loop_.context().run_for(std::chrono::milliseconds(50));
    }
    CHECK_TRUE(client_->expect("408"));
    LONGS_EQUAL(1, log_.count("request_rejected request=42 status=408 reason=body_timeout"));
}

// Connections without a byte.
TEST(caller_crowd, oldest_unused_connection_is_closed_when_there_are_as_many_as_allowed) {
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    handler_.sinks[0]->send(ok(), "first");
    CHECK_TRUE(client_->expect("first"));
    limits_.connections = 4;
    for (int i = 0; i < 3; ++i) {
        crowd_.push_back(std::make_unique<raw_client>(loop_, address_));
    }
    CHECK_TRUE(run_until(loop_, [&] { return server_->connections() == 4; }));
    raw_client other(loop_, address_);
    CHECK_TRUE(crowd_[0]->expect_close());
    LONGS_EQUAL(1, server_->refused_connections());
    other.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(2));
    CHECK_FALSE(client_->closed);
}

TEST(caller_crowd, connection_is_refused_when_none_is_idle) {
    limits_.connections = 1;
    client_->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(requests_received(1));
    raw_client other(loop_, address_);
    CHECK_TRUE(other.expect_close());
    handler_.sinks[0]->send(ok(), "first");
    CHECK_TRUE(client_->expect("first"));
    LONGS_EQUAL(1, log_.count("connections_exhausted"));
}
