#include <CppUTest/TestHarness.h>

#include "tests/drivers/traffic/raw_client.hpp"
#include "tests/drivers/traffic/stranded_host_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;

namespace {

constexpr int status_forbidden = 403;
constexpr int status_unavailable = 503;

}  // namespace

TEST_GROUP_BASE(stranded_host, stranded_host_fixture){};

// Guards against refused requests at a host that has lost its path to all upstreams.
TEST(stranded_host, request_reaches_the_upstream_through_another_host) {
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("whole"), listener_.body);
    LONGS_EQUAL(1, dialer_.tunnelled());
    LONGS_EQUAL(1, tunnels_.opened());
    CHECK_EQUAL(std::string("127.0.0.1"), asked_from_);
    CHECK_TRUE(dialer_.blocked());
}

TEST(stranded_host, connection_through_another_host_is_reused) {
    for (int i = 0; i < 3; ++i) {
        listener_.clear();
        open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        CHECK_TRUE(ended());
    }
    LONGS_EQUAL(1, server_.connections);
    connector_.close_idle();
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    LONGS_EQUAL(2, server_.connections);
}

TEST(stranded_host, hosts_that_cannot_help_are_left_out_for_a_while) {
    upstream_dialer other_dialer(loop_, log_);
    int asked = 0;
    const network_address other = free_address();
    tunnel_server other_tunnels(
        loop_, other_dialer, other,
        [&asked](const std::string& /*from*/, const network_address& /*upstream*/) {
            ++asked;
            return status_unavailable;
        });
    peers_ = {free_address(), other, tunnel_address_};
    for (int i = 0; i < 3; ++i) {
        listener_.clear();
        open_and_respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.ended);
    }
    LONGS_EQUAL(1, asked);
    LONGS_EQUAL(3, dialer_.tunnelled());
}

// Guards against a search for a host with a path on every connection.
TEST(stranded_host, host_that_has_helped_is_asked_first) {
    upstream_dialer other_dialer(loop_, log_);
    int asked = 0;
    const network_address other = free_address();
    tunnel_server other_tunnels(
        loop_, other_dialer, other,
        [&asked](const std::string& /*from*/, const network_address& /*upstream*/) {
            ++asked;
            return status_unavailable;
        });
    peers_ = {other, tunnel_address_};
    for (int i = 0; i < 4; ++i) {
        listener_.clear();
        open_and_respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        CHECK_TRUE(ended());
        run_for(milliseconds(400));
    }
    LONGS_EQUAL(1, asked);
    LONGS_EQUAL(4, dialer_.tunnelled());
}

// Guards against a silent upstream for which all hosts that help are left out.
TEST(stranded_host, host_that_has_helped_lately_is_asked_again_after_a_silent_upstream) {
    raw_server peer(loop_);
    peers_ = {peer.address()};
    for (const std::string answer : {"200 OK", "504 X", "504 X"}) {
        peer.received.clear();
        open();
        CHECK_TRUE(peer.expect("\r\n\r\n"));
        CHECK_EQUAL(std::string("CONNECT " + server_.address().text()),
                    peer.received.substr(0, peer.received.find(" HTTP")));
        peer.send("HTTP/1.1 " + answer + "\r\n\r\n");
        run_for(milliseconds(50));
        exchange_.reset();
        connector_.close_idle();
        block_path();
    }
}

TEST(stranded_host, host_without_help_tries_the_upstream_itself) {
    permission_ = status_forbidden;
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    LONGS_EQUAL(0, dialer_.tunnelled());
    CHECK_FALSE(dialer_.blocked());
}

TEST(stranded_host, refusal_that_another_host_has_seen_is_one) {
    upstream_entry upstream;
    upstream.address = free_address();
    exchange_ = connector_.open(upstream, "GET / HTTP/1.1\r\n\r\n", nullptr, {false, connect_limit},
                                listener_);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure->refused);
    CHECK_FALSE(listener_.failure->sent);
}

TEST(stranded_host, refusal_on_a_path_in_doubt_proves_nothing) {
    peers_.clear();
    upstream_entry upstream;
    upstream.address = free_address();
    exchange_ = connector_.open(upstream, "GET / HTTP/1.1\r\n\r\n", nullptr, {false, connect_limit},
                                listener_);
    CHECK_TRUE(ended());
    CHECK_FALSE(listener_.failure->refused);
}

TEST(stranded_host, path_is_free_again_once_an_upstream_answers) {
    LONGS_EQUAL(1, path_changes_);
    run_for(milliseconds(700));
    CHECK_TRUE(dialer_.blocked());
    upstreams_ = {server_.address()};
    CHECK_TRUE(run_until(loop_, [this] { return !dialer_.blocked(); }));
    LONGS_EQUAL(2, path_changes_);
    LONGS_EQUAL(1, log_.count("upstreams_unreachable"));
    LONGS_EQUAL(1, log_.count("upstreams_reachable"));
    open_and_respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK_TRUE(ended());
    LONGS_EQUAL(0, dialer_.tunnelled());
}

// Guards against a detour that is taken because some upstreams are down.
TEST(stranded_host, doubt_is_settled_by_an_upstream_that_is_not_asked_for) {
    dialer_.record_direct(server_.address(), true);
    upstreams_ = {dead_[0],       dead_[1],       dead_[2],         free_address(),
                  free_address(), free_address(), server_.address()};
    for (const network_address& upstream : dead_) {
        dialer_.record_direct(upstream, false);
    }
    CHECK_TRUE(dialer_.in_doubt());
    CHECK_TRUE(run_until(loop_, [this] { return !dialer_.in_doubt(); }));
    CHECK_FALSE(dialer_.blocked());
    LONGS_EQUAL(1, server_.connections);
}

TEST_GROUP_BASE(tunnelled_answer, stranded_host_fixture){};

// Guards against a part of an answer that looks complete behind a tunnel.
TEST(tunnelled_answer, answer_without_length_is_complete_after_the_end_of_the_stream_only) {
    open_and_respond("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_TRUE(run_until(loop_, [this] { return listener_.body == "part"; }));
    server_.close(true);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.failure.has_value());
    listener_.clear();
    open_and_respond("HTTP/1.1 200 OK\r\n\r\nwhole");
    CHECK_TRUE(run_until(loop_, [this] { return listener_.body == "whole"; }));
    server_.close(false);
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
}

TEST(tunnelled_answer, answer_that_is_reset_during_the_upload_is_not_complete) {
    for (const duration delay : {milliseconds(0), milliseconds(1), milliseconds(5)}) {
        listener_.clear();
        server_.received.clear();
        open(unsendable_body_bytes, true);
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.pause_reading();
        run_for(milliseconds(50));
        server_.send("HTTP/1.1 200 OK\r\n\r\npart");
        run_for(delay);
        server_.close(true);
        CHECK_TRUE(ended());
        CHECK_TRUE(listener_.failure.has_value());
        server_.resume_reading();
    }
}

TEST(tunnelled_answer, answer_that_ends_during_the_upload_is_complete) {
    open(unsendable_body_bytes, true);
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    server_.pause_reading();
    server_.send("HTTP/1.1 200 OK\r\n\r\nwhole");
    server_.shut_down();
    CHECK_TRUE(ended());
    CHECK_TRUE(listener_.ended);
    CHECK_EQUAL(std::string("whole"), listener_.body);
}

// Guards against a part of an answer that looks complete because the host that led the tunnel was
// killed, while another host reaches the upstream.
TEST(tunnelled_answer, answer_without_length_whose_leading_host_has_ended_is_not_complete) {
    raw_server leading(loop_);
    peers_ = {leading.address(), tunnel_address_};
    open();
    CHECK_TRUE(leading.expect("CONNECT " + server_.address().text()));
    leading.send("HTTP/1.1 200 OK\r\n\r\n");
    CHECK_TRUE(leading.expect("POST "));
    leading.send("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_TRUE(run_until(loop_, [this] { return listener_.body == "part"; }));
    leading.end();
    CHECK_TRUE(ended());
    CHECK_FALSE(listener_.ended);
    STRCMP_EQUAL("unconfirmed", name_of(listener_.failure->fault));
    LONGS_EQUAL(0, tunnels_.opened());
}

// As above, with another process of the host at its address by the time the end is read.
TEST(tunnelled_answer, answer_without_length_whose_leading_host_has_restarted_is_not_complete) {
    raw_server leading(loop_);
    const network_address leading_address = leading.address();
    peers_ = {leading_address};
    open();
    CHECK_TRUE(leading.expect("CONNECT " + server_.address().text()));
    leading.send("HTTP/1.1 200 OK\r\nHost-Process: 1\r\n\r\n");
    CHECK_TRUE(leading.expect("POST "));
    leading.send("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_TRUE(run_until(loop_, [this] { return listener_.body == "part"; }));
    leading.end();
    tunnel_server restarted(loop_, peer_dialer_, leading_address,
                            [](const std::string&, const network_address&) { return status_ok; });
    CHECK_TRUE(ended());
    CHECK_FALSE(listener_.ended);
    STRCMP_EQUAL("unconfirmed", name_of(listener_.failure->fault));
}

TEST(tunnelled_answer, answer_without_length_whose_upstream_has_ended_is_not_complete) {
    open_and_respond("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_TRUE(run_until(loop_, [this] { return listener_.body == "part"; }));
    server_.end();
    CHECK_TRUE(ended());
    CHECK_FALSE(listener_.ended);
    STRCMP_EQUAL("unconfirmed", name_of(listener_.failure->fault));
}

// Guards against a part of an answer that looks complete because its upstream was killed, and
// another process got its address, while the host that leads the tunnel was suspended.
TEST(tunnelled_answer, answer_that_ends_while_the_leading_host_is_suspended_is_not_complete) {
    control_loop leading_loop;
    upstream_dialer leading_dialer(leading_loop, log_);
    const network_address leading_address = free_address();
    tunnel_server leading(leading_loop, leading_dialer, leading_address,
                          [](const std::string&, const network_address&) { return status_ok; });
    peers_ = {leading_address};
    const auto run_both = [&](const std::function<bool()>& done) {
        constexpr int rounds = 1'000;
        for (int i = 0; i < rounds && !done(); ++i) {
            run_for(milliseconds(1));
            leading_loop.context().run_for(milliseconds(1));
        }
        return done();
    };
    open();
    CHECK_TRUE(run_both([&] { return server_.received.find("POST ") != std::string::npos; }));
    server_.send("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_TRUE(run_both([&] { return listener_.body == "part"; }));
    server_.close(false);
    run_for(milliseconds(2'500));
    CHECK_FALSE(listener_.ended);
    CHECK_TRUE(run_both([&] { return listener_.ended || listener_.failure.has_value(); }));
    CHECK_FALSE(listener_.ended);
}

TEST(tunnelled_answer, cancelled_exchange_closes_the_connection_of_the_upstream) {
    open();
    CHECK_TRUE(server_.expect("\r\n\r\n"));
    exchange_.reset();
    CHECK_TRUE(run_until(loop_, [this] { return server_.closed; }));
    CHECK_TRUE(run_until(loop_, [this] { return tunnels_.open_tunnels() == 0; }));
}

TEST_GROUP_BASE(tunnel_server, stranded_host_fixture){};

TEST(tunnel_server, requests_other_than_a_permitted_tunnel_are_answered_with_a_failure) {
    permission_ = status_forbidden;
    const std::string target = server_.address().text();
    for (const auto& [request, status] : std::vector<std::pair<std::string, std::string>>{
             {"CONNECT " + target + " HTTP/1.1\r\n\r\n", "403"},
             {"GET / HTTP/1.1\r\n\r\n", "400"},
             {"CONNECT nowhere HTTP/1.1\r\n\r\n", "400"},
             {"CONNECT " + target + " HTTP/1.1\r\n\r\nearly", "400"}}) {
        raw_client client(loop_, tunnel_address_);
        client.send(request);
        CHECK_TRUE(client.expect("HTTP/1.1 " + status));
    }
    LONGS_EQUAL(0, server_.connections);
    CHECK_TRUE(run_until(loop_, [this] { return tunnels_.open_tunnels() == 0; }));
}

TEST(tunnel_server, connection_that_asks_for_nothing_is_closed) {
    raw_client client(loop_, tunnel_address_);
    client.send("CONNECT ");
    CHECK_TRUE(run_until(loop_, [this] { return tunnels_.open_tunnels() == 1; }));
    CHECK_TRUE(run_until(loop_, [this] { return tunnels_.open_tunnels() == 0; }));
}
