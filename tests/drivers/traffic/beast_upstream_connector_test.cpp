#include "drivers/traffic/beast_upstream_connector.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "servers/relay/exchange_listener.hpp"
#include "servers/relay/upstream_exchange.hpp"
#include "tests/drivers/traffic/raw_server.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

class kept_answer final : public exchange_listener {
public:
    void on_head(response_head given) override { head = std::move(given); }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_end() override { ended = true; }
    void on_failure(const exchange_failure& given) override { failure = given; }
    void clear() {
        head = {};
        body.clear();
        ended = false;
        failure.reset();
    }

    response_head head;
    std::string body;
    bool ended = false;
    std::optional<exchange_failure> failure;
};

}  // namespace

TEST_GROUP(beast_upstream_connector) {
    control_loop loop_;
    raw_server server_{loop_};
    beast_upstream_connector connector_{loop_};
    kept_answer answer_;
    std::unique_ptr<upstream_exchange> exchange_;

    void open(std::size_t body_bytes = 0, bool new_connection = false) {
        upstream_entry upstream;
        upstream.id = "i-1";
        upstream.address = server_.address();
        auto body = std::make_shared<const std::string>(body_bytes, 'b');
        exchange_ = connector_.open(
            upstream,
            "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n", body,
            new_connection, answer_);
    }
    bool ended() {
        return run_until(loop_, [&] { return answer_.ended || answer_.failure.has_value(); });
    }
    /// Opens an exchange and lets the server answer with `bytes`.
    void answered(const std::string& bytes) {
        server_.received.clear();
        open();
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send(bytes);
    }
};

TEST(beast_upstream_connector, answer_with_length_leaves_the_connection_for_the_next) {
    answered("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), answer_.body);
    answer_.clear();
    answered("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nko");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ko"), answer_.body);
    LONGS_EQUAL(1, server_.connections);
}

TEST(beast_upstream_connector, second_answer_on_a_connection_ends_its_use) {
    answered(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), answer_.body);
    answer_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, late_second_answer_ends_the_use_of_an_idle_connection) {
    answered("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    server_.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    loop_.context().run_for(std::chrono::milliseconds(30));
    answer_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, chunked_answer_that_breaks_off_is_a_failure) {
    answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    CHECK_TRUE(run_until(loop_, [&] { return answer_.body == "hello"; }));
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(answer_.failure.has_value() && answer_.failure->sent);
}

TEST(beast_upstream_connector, answer_without_length_is_complete_at_its_end_but_not_when_reset) {
    answered("HTTP/1.1 200 OK\r\n\r\nall of it");
    CHECK_TRUE(run_until(loop_, [&] { return answer_.body == "all of it"; }));
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(answer_.ended);
    answer_.clear();
    answered("HTTP/1.1 200 OK\r\n\r\nhalf of");
    CHECK_TRUE(run_until(loop_, [&] { return answer_.body == "half of"; }));
    server_.close(true);
    CHECK_TRUE(ended());
    CHECK_TRUE(answer_.failure.has_value());
}

TEST(beast_upstream_connector, bytes_that_are_no_answer_are_a_failure) {
    answered("garbage garbage garbage\r\n\r\n");
    CHECK_TRUE(ended());
    CHECK_TRUE(answer_.failure.has_value());
}

TEST(beast_upstream_connector, answer_whose_framing_never_ends_is_a_failure) {
    const std::string much(300'000, 'x');
    for (const char* start :
         {"HTTP/1.1 200 ",
          "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: "}) {
        answer_.clear();
        answered(start + much);
        CHECK_TRUE(ended());
        CHECK_TRUE(answer_.failure.has_value());
        CHECK_FALSE(answer_.ended);
    }
}

TEST(beast_upstream_connector, interim_answers_without_end_keep_no_memory_and_are_no_answer) {
    std::string many;
    for (int i = 0; i < 2'000; ++i) {
        many += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    answered(many);
    loop_.context().run_for(std::chrono::milliseconds(200));
    CHECK_FALSE(answer_.ended || answer_.failure.has_value());
    server_.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    CHECK_EQUAL(std::string("ok"), answer_.body);
}

TEST(beast_upstream_connector, refused_connection_is_known_not_to_have_sent_anything) {
    upstream_entry nobody;
    nobody.id = "i-2";
    nobody.address = free_address();
    exchange_ = connector_.open(nobody, "GET / HTTP/1.1\r\n\r\n", nullptr, true, answer_);
    CHECK_TRUE(ended());
    CHECK_FALSE(answer_.failure->sent);
}

TEST(beast_upstream_connector, answer_before_the_body_is_read_comes_through_and_ends_the_use) {
    constexpr std::size_t large = 8'000'000;
    open(large);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\nno");
    CHECK_TRUE(ended());
    LONGS_EQUAL(429, answer_.head.status);
    answer_.clear();
    open();
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}

TEST(beast_upstream_connector, cancelled_exchange_closes_its_connection) {
    open();
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    exchange_.reset();
    CHECK_TRUE(run_until(loop_, [&] { return server_.closed; }));
}

TEST(beast_upstream_connector, unrepeatable_request_never_uses_a_kept_connection) {
    answered("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(ended());
    answer_.clear();
    open(0, true);
    CHECK_TRUE(run_until(loop_, [&] { return server_.connections == 2; }));
}
