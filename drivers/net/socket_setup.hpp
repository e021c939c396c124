#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Sets the options of a TCP connection: no delay of small writes (TCP_NODELAY), and detection
/// within seconds of a peer that is dead or takes no data.
void set_up_socket(boost::asio::ip::tcp::socket& socket);

/// The same for a connection that carries requests or responses of callers, whose peer may read
/// slowly. The keep-alive detects a dead peer only while no data is on the way; otherwise time-outs
/// of the request do, and `output_monitor` for callers.
void set_up_traffic_socket(boost::asio::ip::tcp::socket& socket);

boost::asio::ip::tcp::endpoint to_endpoint(const network_address& address);

/// True when an idle connection can be reused: it is open and has no unread data.
bool is_idle_connection_usable(boost::asio::ip::tcp::socket& socket);

/// Opens a listening socket.
/// @throws operation_error  `address` cannot be bound
boost::asio::ip::tcp::acceptor listen_at(boost::asio::io_context& context,
                                         const network_address& address);

}  // namespace fuchsiaquay
