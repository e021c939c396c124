#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace fuchsiaquay::scenarios {

/// Reserves ports on 127.0.0.1 for processes that are started later, until this object is
/// destroyed. They lie below the ephemeral ports of the system, so that no other socket takes one
/// before its process listens. A claim is a socket bound to the port on 127.0.0.2: other runners on
/// the machine, and `tests/soak/soak.py`, do not use such a port.
class port_claims {
public:
    /// Throws a `operation_error` when every port is claimed.
    std::uint16_t take();

private:
    /// True if the port is claimed now, false if it is in use or claimed elsewhere.
    bool claim(std::uint16_t port);

    boost::asio::io_context context_;
    std::vector<boost::asio::ip::tcp::acceptor> held_;
};

}  // namespace fuchsiaquay::scenarios
