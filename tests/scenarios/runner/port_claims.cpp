#include "tests/scenarios/runner/port_claims.hpp"

#include <random>
#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay::scenarios {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Below the ephemeral ports of the system (from 32,768) and outside the ports of the scripts.
constexpr std::uint16_t first_port = 10'000;
constexpr std::uint16_t port_count = 12'000;
/// Address to which claims are bound.
const asio::ip::address_v4 claim_address({127, 0, 0, 2});

bool bind(tcp::acceptor& to, const tcp::endpoint& endpoint) {
    boost::system::error_code failed;
    to.open(endpoint.protocol());
    to.bind(endpoint, failed);
    return !failed;
}

}  // namespace

std::uint16_t port_claims::take() {
    static std::random_device entropy;
    // Runners start at different offsets, so that they rarely try the same port.
    const std::uint32_t start = entropy() % port_count;
    for (std::uint32_t step = 0; step < port_count; ++step) {
        const auto port = static_cast<std::uint16_t>(first_port + (start + step) % port_count);
        if (claim(port)) {
            return port;
        }
    }
    throw operation_error("claim port", std::to_string(first_port), "every port is in use");
}

bool port_claims::claim(std::uint16_t port) {
    tcp::acceptor claim(context_);
    if (!bind(claim, {claim_address, port})) {
        return false;
    }
    tcp::acceptor probe(context_);
    if (!bind(probe, {asio::ip::address_v4::loopback(), port})) {
        return false;
    }
    held_.push_back(std::move(claim));
    return true;
}

}  // namespace fuchsiaquay::scenarios
