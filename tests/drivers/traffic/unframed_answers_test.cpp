/// @file
/// Answers with neither a length nor chunks, which end with their connections.

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

constexpr const char* other_connections = "other connections were lost with it";
constexpr const char* half_of_a_framed_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf of";

constexpr const char* short_request = "POST / HTTP/1.1\r\n\r\n";
constexpr std::size_t request_bytes = 19;
constexpr const char* whole_answer = "HTTP/1.1 200 OK\r\n\r\nall of it";
constexpr int max_descriptors = 1'024;

struct unframed_answers_fixture : upstream_connector_fixture {
    recording_listener other_listener_;
    std::vector<std::unique_ptr<upstream_exchange>> other_exchanges_;

    void begin_answer(const std::string& body) {
        open_and_respond("HTTP/1.1 200 OK\r\n\r\n" + body);
        CHECK_TRUE(run_until(loop_, [&] { return listener_.body == body; }));
    }
    /// Begins an answer to another request on a connection of its own.
    void begin_other_answer(raw_server& server, const std::string& id, const std::string& answer) {
        upstream_entry upstream;
        upstream.id = id;
        upstream.address = server.address();
        server.received.clear();
        other_exchanges_.push_back(connector_.open(upstream, "POST / HTTP/1.1\r\n\r\n", nullptr,
                                                   {true, connect_limit}, other_listener_));
        CHECK_TRUE(server.expect("POST "));
        server.send(answer);
    }
    /// File descriptor of the connection's end at this host.
    int connection_of_exchange() const {
        for (int fd = 0; fd < max_descriptors; ++fd) {
            sockaddr_in peer{};
            socklen_t size = sizeof peer;
            const bool connected = getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
            if (connected && ntohs(peer.sin_port) == server_.address().port) {
                return fd;
            }
        }
        return -1;
    }
    void check_lost() {
        CHECK_TRUE(ended());
        CHECK_FALSE(listener_.ended);
        STRCMP_EQUAL("incomplete", name_of(listener_.failure->fault));
    }
    void check_unconfirmed(const char* reason = "connect: ") {
        CHECK_TRUE(ended());
        CHECK_FALSE(listener_.ended);
        STRCMP_CONTAINS((std::string("answer: end not confirmed: ") + reason).c_str(),
                        listener_.failure->reason.c_str());
        STRCMP_EQUAL("unconfirmed", name_of(listener_.failure->fault));
        CHECK_TRUE(listener_.failure->sent);
        CHECK_FALSE(listener_.failure->refused);
    }
};

}  // namespace

TEST_GROUP_BASE(unframed_answers, unframed_answers_fixture){};

// Guards against a part of an answer that looks complete because its upstream was killed.
TEST(unframed_answers, answer_of_an_upstream_that_has_ended_is_not_complete) {
    begin_answer("half of");
    server_.end();
    check_unconfirmed();
    CHECK_EQUAL(std::string("half of"), listener_.body);
}

TEST(unframed_answers, answer_of_an_upstream_that_has_ended_during_the_upload_is_not_complete) {
    server_.pause_reading();
    open(unsendable_body_bytes, true);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.send("HTTP/1.1 200 OK\r\n\r\nhalf of");
    server_.shut_down();
    server_.end();
    check_unconfirmed();
}

TEST(unframed_answers, answer_is_complete_once_its_upstream_takes_another_connection) {
    begin_answer("all of it");
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("all of it"), listener_.body);
    LONGS_EQUAL(2, server_.connections);
}

// Guards against a part of an answer that looks complete because a proxy on the way has closed its
// connections, while the upstream still runs.
TEST(unframed_answers, answer_that_ends_with_a_part_of_a_framed_one_is_not_complete) {
    begin_answer("half of");
    begin_other_answer(server_, "i-1", half_of_a_framed_answer);
    server_.close_all();
    check_unconfirmed(other_connections);
}

TEST(unframed_answers, answer_that_ends_with_the_connection_of_a_waiting_request_is_not_complete) {
    begin_answer("half of");
    begin_other_answer(server_, "i-1", "");
    server_.close_all();
    check_unconfirmed(other_connections);
}

TEST(unframed_answers, answer_that_ends_with_answers_of_two_other_upstreams_is_not_complete) {
    raw_server second(loop_);
    raw_server third(loop_);
    begin_answer("half of");
    begin_other_answer(second, "i-2", half_of_a_framed_answer);
    begin_other_answer(third, "i-3", half_of_a_framed_answer);
    for (raw_server* server : {&second, &server_, &third}) {
        server->close_all();
    }
    check_unconfirmed(other_connections);
}

// An upstream in trouble may reset some of its answers; that tells nothing of the others.
TEST(unframed_answers, answer_is_complete_although_another_one_of_its_upstream_was_reset) {
    begin_answer("all of it");
    begin_other_answer(server_, "i-1", half_of_a_framed_answer);
    server_.close(true);
    server_.close_all();
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_TRUE(other_listener_.failure.has_value());
}

// Guards against a part of an answer that looks complete because its upstream ended, and another
// process got its address, while this host was suspended.
TEST(unframed_answers, answer_that_ends_while_the_host_is_suspended_is_not_complete) {
    loop_.context().run_for(std::chrono::milliseconds(1'100));
    begin_answer("half of");
    server_.close(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    check_unconfirmed("this host was suspended");
    loop_.context().run_for(std::chrono::milliseconds(200));
    listener_.clear();
    begin_answer("all of it");
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
}

// Guards against a reset that looks like the end of an answer because another operation has taken
// its error.
TEST(unframed_answers, answer_whose_reset_was_reported_elsewhere_is_not_complete) {
    begin_answer("half of");
    const int connection = connection_of_exchange();
    server_.close(true);
    int error = 0;
    socklen_t size = sizeof error;
    LONGS_EQUAL(0, getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size));
    LONGS_EQUAL(ECONNRESET, error);
    check_lost();
}

// Guards against an end that the upstream did not send.
TEST(unframed_answers, answer_whose_connection_was_shut_down_at_this_host_is_not_complete) {
    begin_answer("half of");
    LONGS_EQUAL(0, shutdown(connection_of_exchange(), SHUT_RDWR));
    check_lost();
}

// Guards against a part of an answer that looks complete because its reset comes after an end.
TEST(unframed_answers, answer_that_is_reset_after_its_end_is_not_complete) {
    for (const duration delay : {std::chrono::milliseconds(0), std::chrono::milliseconds(3)}) {
        listener_.clear();
        begin_answer("half of");
        server_.shut_down();
        loop_.context().run_for(delay);
        server_.close(true);
        check_lost();
    }
}

// Guards against upstreams whose connections are used up by those that confirm ends.
TEST(unframed_answers, connection_that_confirmed_an_end_is_closed) {
    for (const int requests : {1, 2}) {
        listener_.clear();
        begin_answer("all of it");
        CHECK_FALSE(exchange_->reused_connection());
        server_.close(false);
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.ended);
        LONGS_EQUAL(2 * requests, server_.connections);
        loop_.context().run_for(std::chrono::milliseconds(100));
        LONGS_EQUAL(requests, server_.ended_by_peer);
    }
}

// Guards against a whole answer that is lost because the opening packet of the connection that
// confirms its end is lost, as it is while the queue of the upstream's listener is full.
TEST(unframed_answers, answer_is_complete_although_the_opening_packet_is_sent_twice) {
    tcp::acceptor acceptor(loop_.context());
    acceptor.open(tcp::v4());
    acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    acceptor.listen(0);
    upstream_entry upstream;
    upstream.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    exchange_ = connector_.open(upstream, short_request, nullptr, {true, connect_limit}, listener_);
    loop_.context().run_for(std::chrono::milliseconds(20));
    tcp::socket connection = acceptor.accept();
    std::string request(request_bytes, '\0');
    boost::asio::read(connection, boost::asio::buffer(request));
    boost::asio::write(connection, boost::asio::buffer(std::string(whole_answer)));
    std::vector<tcp::socket> others;
    for (int i = 0; i < 4; ++i) {
        others.emplace_back(loop_.context());
        others.back().async_connect(acceptor.local_endpoint(), [](const auto& /*error*/) {});
    }
    loop_.context().run_for(std::chrono::milliseconds(20));
    connection.close();
    loop_.context().run_for(std::chrono::milliseconds(300));
    // The queue is free again.
    acceptor.non_blocking(true);
    for (std::size_t i = 0; i < others.size(); ++i) {
        boost::system::error_code ignored;
        acceptor.accept(ignored);
    }
    others.clear();
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("all of it"), listener_.body);
}

// As above, right after the start of this host.
TEST(unframed_answers, answer_that_ends_while_a_new_host_is_suspended_is_not_complete) {
    begin_answer("half of");
    server_.close(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    check_unconfirmed("this host was suspended");
}

TEST(unframed_answers, cancelled_exchange_confirms_nothing) {
    begin_answer("all of it");
    server_.close(false);
    loop_.context().run_for(std::chrono::milliseconds(2));
    exchange_.reset();
    loop_.context().run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(listener_.ended);
    CHECK_FALSE(listener_.failure.has_value());
    LONGS_EQUAL(1, server_.connections);
}
