#include "drivers/api/service_call.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <memory>
#include <string>

#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/leak_detection_off.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

struct call_outcome {
    service_call::result result;
    std::atomic<bool> done{false};
};

}  // namespace

TEST_GROUP(service_call) {
    control_loop loop_;
    raw_server server_{loop_};
    std::shared_ptr<call_outcome> outcome_;
    std::shared_ptr<service_call> call_;

    void setup() override {
        CHECK_TRUE(leak_detection_off);
    }
    void teardown() override {
        // Callbacks of a call that is cancelled keep it until they have run.
        call_->cancel();
        const std::weak_ptr<service_call> ended = call_;
        call_.reset();
        CHECK_TRUE(run_until(loop_, [&ended] { return ended.expired(); }));
    }
    void start(const network_address& address, std::size_t body_bytes = 0) {
        server_.received.clear();
        service_call::request message(boost::beast::http::verb::post, "/restock", 11);
        message.body() = std::string(body_bytes, 'b');
        message.prepare_payload();
        outcome_ = std::make_shared<call_outcome>();
        call_ = std::make_shared<service_call>(address.ip, address.port, std::move(message),
                                               [outcome = outcome_](const auto& result) {
                                                   outcome->result = result;
                                                   outcome->done = true;
                                               });
        call_->start();
    }
    const service_call::result& wait() {
        CHECK_TRUE(run_until(loop_, [this] { return outcome_->done.load(); }));
        return outcome_->result;
    }
    /// Result of a call that the server answers with `bytes` before it ends the connection.
    const service_call::result& answer(const std::string& bytes, bool reset = false) {
        start(server_.address());
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send(bytes);
        server_.close(reset);
        return wait();
    }
    void check_rejected(const char* failure, const std::string& bytes) {
        const service_call::result& result = answer(bytes);
        STRCMP_EQUAL_TEXT(failure, result.failure.c_str(), bytes.c_str());
        LONGS_EQUAL(0, result.status);
        CHECK_EQUAL(std::string(), result.body);
    }
};

TEST(service_call, sound_answer_is_passed_on) {
    const service_call::result& result = answer(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno");
    CHECK_EQUAL(std::string(), result.failure);
    LONGS_EQUAL(404, result.status);
    CHECK_EQUAL(std::string("text/plain"), result.content_type);
    CHECK_EQUAL(std::string("no"), result.body);
}

TEST(service_call, redirect_is_left_to_the_caller) {
    const service_call::result& result =
        answer("HTTP/1.1 307 X\r\nLocation: http://" + server_.address().text() +
               "/other\r\nContent-Length: 0\r\n\r\n");
    LONGS_EQUAL(307, result.status);
    LONGS_EQUAL(1, server_.connections);
}

TEST(service_call, refused_connection_is_told_from_a_broken_answer) {
    start(free_address());
    CHECK_EQUAL(std::string("connect"), wait().failure);
}

TEST(service_call, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_rejected("invalid_status",
                       "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }
    check_rejected("invalid_status", "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok");
}

TEST(service_call, malformed_field_name_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_rejected("malformed_answer",
                       "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\nX-B: c\r\n\r\nok");
        check_rejected("malformed_answer",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                           line + "\r\n\r\n");
    }
}

TEST(service_call, answer_without_length_ends_at_close_and_fails_on_reset) {
    CHECK_EQUAL(std::string("all of it"), answer("HTTP/1.1 200 OK\r\n\r\nall of it").body);
    CHECK_EQUAL(std::string("broken"), answer("HTTP/1.1 200 OK\r\n\r\nhalf of", true).failure);
}

// Guards against a part of an answer that looks complete because its service was killed.
TEST(service_call, answer_without_length_of_a_service_that_has_ended_is_a_failure) {
    start(server_.address());
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.end();
    CHECK_EQUAL(std::string("broken"), wait().failure);
    CHECK_EQUAL(std::string(), wait().body);
}

TEST(service_call, answer_that_ends_early_is_a_failure) {
    check_rejected("broken", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf of");
    check_rejected("broken", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf of");
}

TEST(service_call, answer_that_is_reset_during_the_upload_is_a_failure) {
    constexpr std::size_t unsendable_body_bytes = 48'000'000;
    server_.pause_reading();
    start(server_.address(), unsendable_body_bytes);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.close(true);
    CHECK_EQUAL(std::string("broken"), wait().failure);
}

TEST(service_call, cancelled_call_reports_nothing_and_closes_its_connection) {
    start(server_.address());
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    call_->cancel();
    CHECK_TRUE(run_until(loop_, [this] { return server_.closed; }));
    CHECK_FALSE(outcome_->done);
}

// Guards against a call and its owner that keep each other.
TEST(service_call, ended_call_releases_what_its_handler_refers_to) {
    for (const bool cancelled : {false, true}) {
        start(server_.address());
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        if (cancelled) {
            call_->cancel();
        } else {
            server_.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        CHECK_TRUE(run_until(loop_, [this] { return outcome_.use_count() == 1; }));
    }
}
