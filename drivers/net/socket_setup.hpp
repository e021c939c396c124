#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Sets the options of every TCP connection of this program: no delay of small writes
/// (TCP_NODELAY), and detection of a dead peer within seconds.
void set_up_socket(boost::asio::ip::tcp::socket& socket);

boost::asio::ip::tcp::endpoint to_endpoint(const network_address& address);

/// True when an idle connection can be reused: it is open and has no unread data.
bool is_idle_connection_usable(boost::asio::ip::tcp::socket& socket);

/// Opens a listening socket.
/// @throws operation_error  `address` cannot be bound
boost::asio::ip::tcp::acceptor listen_at(boost::asio::io_context& context,
                                         const network_address& address);

}  // namespace fuchsiaquay
