#include "drivers/net/http_channel.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "drivers/net/http_call.hpp"
#include "drivers/net/http_result.hpp"
#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/raw_server.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP(http_channel) {
    control_loop loop_;
    raw_server server_{loop_};
    http_channel channel_{loop_, server_.address()};
    std::optional<http_result> result_;

    /// Sends a call and waits until its head has arrived.
    void send(std::size_t body_bytes = 0) {
        server_.received.clear();
        result_.reset();
        http_call call;
        call.method = "POST";
        call.target = "/";
        call.body = std::string(body_bytes, 'b');
        call.timeout = std::chrono::seconds(3);
        channel_.send(std::move(call), [this](const http_result& result) { result_ = result; });
        CHECK_TRUE(server_.expect("\r\n\r\n"));
    }
    void wait() {
        CHECK_TRUE(run_until(loop_, [this] { return result_.has_value(); }));
    }
    void check_failed(const std::string& answer) {
        wait();
        CHECK_FALSE_TEXT(result_->failure.empty(), answer.c_str());
        LONGS_EQUAL_TEXT(0, result_->status, answer.c_str());
        CHECK_EQUAL(std::string(), result_->body);
    }
    void check_rejected(const std::string& answer) {
        send();
        server_.send(answer);
        check_failed(answer);
    }
};

TEST(http_channel, sound_answer_is_passed_on) {
    send();
    server_.send("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    wait();
    CHECK_EQUAL(std::string(), result_->failure);
    LONGS_EQUAL(404, result_->status);
    CHECK_EQUAL(std::string("no"), result_->body);
}

TEST(http_channel, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_rejected("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
        STRCMP_CONTAINS("status", result_->failure.c_str());
    }
}

TEST(http_channel, connection_with_an_invalid_status_is_not_reused) {
    check_rejected("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok");
    send();
    LONGS_EQUAL(2, server_.connections);
}

TEST(http_channel, malformed_field_name_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_rejected("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\nX-B: c\r\n\r\nok");
    }
}

TEST(http_channel, malformed_field_name_in_a_trailer_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_rejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                       line + "\r\n\r\n");
    }
}

TEST(http_channel, answer_without_length_ends_at_close_and_fails_on_reset) {
    send();
    server_.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    server_.close(false);
    wait();
    CHECK_EQUAL(std::string("all of it"), result_->body);
    send();
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.close(true);
    check_failed("reset after the call was sent");
}

TEST(http_channel, answer_without_length_that_is_reset_while_the_call_is_sent_is_a_failure) {
    constexpr std::size_t unsendable_body_bytes = 48'000'000;
    server_.pause_reading();
    send(unsendable_body_bytes);
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.close(true);
    check_failed("reset while the call was sent");
}
