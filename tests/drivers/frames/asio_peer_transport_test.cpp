#include "drivers/frames/asio_peer_transport.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "drivers/control/control_loop.hpp"
#include "drivers/frames/frame_error.hpp"
#include "servers/decision_log.hpp"
#include "tests/drivers/frames/silent_relay.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class silent_log final : public decision_log {
public:
    void write(level, std::string_view, std::initializer_list<field>) override {}
};

struct node {
    std::unique_ptr<asio_peer_transport> transport;
    std::vector<std::string> received;
};

}  // namespace

TEST_GROUP(asio_peer_transport) {
    control_loop loop_;
    silent_log log_;
    node a_;
    node b_;

    void start(node & made, const char* name, std::uint64_t incarnation = 1,
               const std::string& key = "cluster-key", std::uint16_t port = 0) {
        transport_settings settings;
        settings.self = host_id(name);
        settings.address = "127.0.0.1";
        settings.port = port;
        settings.incarnation = incarnation;
        settings.keys.current = key;
        settings.max_queued_frames = 8;
        made.transport =
            std::make_unique<asio_peer_transport>(loop_.context(), loop_, log_, settings);
        made.transport->on_message([&made](const host_id& sender, const peer_message& message) {
            made.received.push_back(sender.value() + ":" + std::get<mark_query>(message).mark);
        });
    }

    static member_update place(const char* name, std::uint16_t port) {
        member_update update;
        update.host = host_id(name);
        update.address = "127.0.0.1";
        update.peer_port = port;
        return update;
    }

    static void send(node & from, const char* name, std::uint16_t port, const std::string& mark) {
        from.transport->send(place(name, port), mark_query{0, mark, host_id()});
    }

    /// Runs the event loop until `done` is true or `limit` has passed.
    bool run_until(const std::function<bool()>& done, duration limit = seconds(20)) {
        const instant end = loop_.now() + limit;
        while (!done() && loop_.now() < end) {
            loop_.context().run_for(milliseconds(5));
            loop_.context().restart();
        }
        return done();
    }

    void teardown() override {
        a_.transport.reset();
        b_.transport.reset();
        loop_.context().run_for(milliseconds(5));
    }
};

TEST(asio_peer_transport, messages_go_both_ways_over_one_connection) {
    start(a_, "a");
    start(b_, "b");
    send(a_, "b", b_.transport->port(), "one");
    CHECK_TRUE(run_until([&] { return b_.received.size() == 1; }));
    send(b_, "a", a_.transport->port(), "two");
    CHECK_TRUE(run_until([&] { return a_.received.size() == 1; }));
    STRCMP_EQUAL("a:one", b_.received[0].c_str());
    STRCMP_EQUAL("b:two", a_.received[0].c_str());
    LONGS_EQUAL(1, a_.transport->counters().connections_opened);
    LONGS_EQUAL(0, b_.transport->counters().connections_opened);
}

TEST(asio_peer_transport, silent_connection_is_replaced_and_message_arrives_once) {
    start(a_, "a");
    start(b_, "b");
    silent_relay relay(loop_.context(), b_.transport->port());
    send(a_, "b", relay.port(), "one");
    CHECK_TRUE(run_until([&] { return b_.received.size() == 1; }));
    relay.silence(true, true);
    send(a_, "b", relay.port(), "two");
    CHECK_TRUE(run_until([&] { return b_.received.size() == 2; }));
    CHECK_TRUE(a_.transport->counters().silent_connections >= 1);
    LONGS_EQUAL(2, relay.connections());
}

TEST(asio_peer_transport, silent_way_back_does_not_deliver_twice) {
    start(a_, "a");
    start(b_, "b");
    silent_relay relay(loop_.context(), b_.transport->port());
    send(a_, "b", relay.port(), "one");
    CHECK_TRUE(run_until([&] { return relay.connections() == 1; }));
    relay.silence(false, true);
    CHECK_TRUE(run_until([&] { return relay.connections() == 2; }));
    // The peer must acknowledge on the new connection, although it has received every message.
    run_until([] { return false; }, milliseconds(2500));
    LONGS_EQUAL(2, relay.connections());
    send(b_, "a", a_.transport->port(), "back");
    send(a_, "b", relay.port(), "two");
    CHECK_TRUE(run_until([&] { return a_.received.size() == 1 && b_.received.size() == 2; }));
    LONGS_EQUAL(2, b_.received.size());
    LONGS_EQUAL(2, relay.connections());
}

TEST(asio_peer_transport, frame_sent_before_the_peer_listens_arrives_later) {
    start(b_, "b");
    const std::uint16_t port = b_.transport->port();
    b_.transport.reset();
    start(a_, "a");
    send(a_, "b", port, "early");
    run_until([] { return false; }, milliseconds(300));
    start(b_, "b", 2, "cluster-key", port);
    CHECK_TRUE(run_until([&] { return b_.received.size() == 1; }));
}

TEST(asio_peer_transport, foreign_key_is_refused) {
    start(a_, "a", 1, "other-key");
    start(b_, "b");
    send(a_, "b", b_.transport->port(), "one");
    CHECK_TRUE(run_until([&] { return b_.transport->counters().frames_refused > 0; }));
    LONGS_EQUAL(0, b_.received.size());
}

TEST(asio_peer_transport, recorded_frames_are_refused_on_another_connection) {
    start(a_, "a");
    start(b_, "b");
    silent_relay relay(loop_.context(), b_.transport->port());
    send(a_, "b", relay.port(), "one");
    CHECK_TRUE(run_until([&] { return b_.received.size() == 1; }));
    boost::asio::ip::tcp::socket socket(loop_.context());
    socket.connect({boost::asio::ip::address_v4::loopback(), b_.transport->port()});
    boost::asio::write(socket, boost::asio::buffer(relay.recorded()));
    CHECK_TRUE(run_until([&] { return b_.transport->counters().frames_refused > 0; }));
    LONGS_EQUAL(1, b_.received.size());
}

TEST(asio_peer_transport, frame_for_another_host_is_refused) {
    start(a_, "a");
    start(b_, "b");
    send(a_, "c", b_.transport->port(), "one");
    CHECK_TRUE(run_until([&] { return b_.transport->counters().frames_refused > 0; }));
    LONGS_EQUAL(0, b_.received.size());
}

TEST(asio_peer_transport, overflow_drops_the_oldest_frames) {
    start(a_, "a");
    start(b_, "b");
    for (int i = 0; i < 20; ++i) {
        send(a_, "b", b_.transport->port(), std::to_string(i));
    }
    CHECK_TRUE(run_until([&] { return b_.received.size() == 8; }));
    STRCMP_EQUAL("a:12", b_.received.front().c_str());
    STRCMP_EQUAL("a:19", b_.received.back().c_str());
    LONGS_EQUAL(12, a_.transport->counters().frames_dropped);
}

TEST(asio_peer_transport, frames_of_an_older_incarnation_are_refused) {
    start(a_, "a", 2);
    start(b_, "b");
    send(a_, "b", b_.transport->port(), "new");
    CHECK_TRUE(run_until([&] { return b_.received.size() == 1; }));
    node old;
    start(old, "a", 1);
    send(old, "b", b_.transport->port(), "old");
    CHECK_TRUE(run_until([&] { return b_.transport->counters().frames_refused > 0; }));
    LONGS_EQUAL(1, b_.received.size());
}

TEST(asio_peer_transport, taken_port_throws) {
    start(a_, "a");
    CHECK_THROWS(frame_error, start(b_, "b", 1, "cluster-key", a_.transport->port()));
}
