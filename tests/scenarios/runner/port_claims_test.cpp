#include "tests/scenarios/runner/port_claims.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>
#include <vector>

#include "tests/stand_ins/cut_proxy/cut_proxy.hpp"

using namespace fuchsiaquay::scenarios;
using fuchsiaquay::stand_ins::cut_proxy;

TEST_GROUP(port_claims){};

TEST(port_claims, links_opened_after_a_port_was_given_out_do_not_take_it) {
    constexpr int processes = 400;
    constexpr int links = 400;
    port_claims claims;
    std::set<std::uint16_t> given_out;
    for (int i = 0; i < processes; ++i) {
        given_out.insert(claims.take());
    }
    std::vector<std::unique_ptr<cut_proxy>> open;
    for (int i = 0; i < links; ++i) {
        open.push_back(std::make_unique<cut_proxy>(0, 1));
        CHECK_EQUAL(0U, given_out.count(open.back()->port()));
    }
    CHECK_EQUAL(static_cast<std::size_t>(processes), given_out.size());
}

TEST(port_claims, two_runners_never_share_a_port) {
    constexpr int ports = 500;
    port_claims one;
    port_claims other;
    std::set<std::uint16_t> taken;
    for (int i = 0; i < ports; ++i) {
        CHECK_TRUE(taken.insert(one.take()).second);
        CHECK_TRUE(taken.insert(other.take()).second);
    }
}

TEST(port_claims, claims_end_with_their_runner) {
    auto ended = std::make_unique<port_claims>();
    const std::uint16_t port = ended->take();
    ended.reset();
    boost::asio::io_context context;
    const boost::asio::ip::address_v4 claims({127, 0, 0, 2});
    const boost::asio::ip::tcp::acceptor free_again(context, {claims, port});
    CHECK_EQUAL(port, free_again.local_endpoint().port());
}
