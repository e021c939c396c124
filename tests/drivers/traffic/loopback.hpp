#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

#include "core/fleet/network_address.hpp"
#include "drivers/control/control_loop.hpp"

namespace fuchsiaquay::testing {

using tcp = boost::asio::ip::tcp;

/// Returns a loopback address with a free port.
inline network_address free_address() {
    boost::asio::io_context context;
    tcp::acceptor probe(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Runs the loop until `done` returns true. Returns false after five seconds.
inline bool run_until(control_loop& loop, const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop.context().run_for(std::chrono::milliseconds(2));
    }
    return true;
}

}  // namespace fuchsiaquay::testing
