/// @file
/// Answers with neither a length nor chunks that are taken for whole although they were cut.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/drivers/traffic/upstream_connector_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;

namespace {

constexpr const char* half_of_an_answer = "HTTP/1.1 200 OK\r\n\r\nhalf of";

struct cut_together_fixture : upstream_connector_fixture {
    std::vector<std::unique_ptr<recording_listener>> listeners_;
    std::vector<std::unique_ptr<upstream_exchange>> exchanges_;

    void begin_answer(raw_server& server, const std::string& id) {
        upstream_entry upstream;
        upstream.id = id;
        upstream.address = server.address();
        server.received.clear();
        listeners_.push_back(std::make_unique<recording_listener>());
        recording_listener& listener = *listeners_.back();
        exchanges_.push_back(connector_.open(upstream, "POST / HTTP/1.1\r\n\r\n", nullptr,
                                             {true, connect_limit}, listener));
        CHECK_TRUE(server.expect("POST "));
        server.send(half_of_an_answer);
        CHECK_TRUE(run_until(loop_, [&] { return !listener.body.empty(); }));
    }
    void check_none_complete() {
        for (const auto& listener : listeners_) {
            CHECK_TRUE(
                run_until(loop_, [&] { return listener->ended || listener->failure.has_value(); }));
            CHECK_FALSE(listener->ended);
        }
    }
};

}  // namespace

TEST_GROUP_BASE(unframed_answers_cut_together, cut_together_fixture){};

// Guards against parts of answers that look complete because something on the way has closed the
// connections of one upstream, all of which were in answers without framing.
TEST(unframed_answers_cut_together, answers_of_one_upstream_are_not_complete) {
    for (int i = 0; i < 3; ++i) {
        begin_answer(server_, "i-1");
    }
    server_.close_all();
    check_none_complete();
}

// As above, for connections of five upstreams.
TEST(unframed_answers_cut_together, answers_of_five_upstreams_are_not_complete) {
    std::vector<std::unique_ptr<raw_server>> servers;
    for (int i = 0; i < 5; ++i) {
        servers.push_back(std::make_unique<raw_server>(loop_));
        begin_answer(*servers.back(), "i-" + std::to_string(i));
    }
    for (const auto& server : servers) {
        server->close_all();
    }
    check_none_complete();
}

// Guards against a part of an answer that looks complete because the listening socket of its
// upstream is closed later than its connections.
TEST(unframed_answers_cut_together, answer_of_an_upstream_that_ends_slowly_is_not_complete) {
    tcp::acceptor acceptor(loop_.context(),
                           tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    upstream_entry upstream;
    upstream.id = "i-1";
    upstream.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    const std::string request = "POST / HTTP/1.1\r\n\r\n";
    listeners_.push_back(std::make_unique<recording_listener>());
    exchanges_.push_back(
        connector_.open(upstream, request, nullptr, {true, connect_limit}, *listeners_.back()));
    loop_.context().run_for(milliseconds(20));
    tcp::socket connection = acceptor.accept();
    std::string received(request.size(), '\0');
    boost::asio::read(connection, boost::asio::buffer(received));
    boost::asio::write(connection, boost::asio::buffer(std::string(half_of_an_answer)));
    loop_.context().run_for(milliseconds(10));
    connection.close();
    loop_.context().run_for(milliseconds(40));
    acceptor.close();
    check_none_complete();
}
