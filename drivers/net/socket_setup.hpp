#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Options that every TCP connection of this program gets: no delay of small writes, and an end
/// within seconds when the other side went silent.
void set_up_socket(boost::asio::ip::tcp::socket& socket);

boost::asio::ip::tcp::endpoint to_endpoint(const network_address& address);

/// True when an idle connection can carry another request: open, and nothing unread on it.
bool is_idle_connection_usable(boost::asio::ip::tcp::socket& socket);

/// Listens at `address`.
/// @throws operation_error  the address cannot be listened at
boost::asio::ip::tcp::acceptor listen_at(boost::asio::io_context& context,
                                         const network_address& address);

}  // namespace fuchsiaquay
