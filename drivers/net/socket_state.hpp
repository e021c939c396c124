#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace fuchsiaquay {

/// Bytes written to `socket` that the peer has not acknowledged; the end of the stream counts as
/// one byte. 0 when the socket is closed or was reset.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

/// Bytes that the kernel received and that were not read.
std::size_t unread_bytes(boost::asio::ip::tcp::socket& socket);

/// Whether the peer ended a stream that was read to its end. It did not if the connection was reset
/// and another operation took the error, or if something else has shut down the socket.
/// @param write_error  error of the last write; it may have taken the reset
bool is_ended_by_peer(boost::asio::ip::tcp::socket& socket,
                      const boost::system::error_code& write_error);

/// Whether the connection was reset, before or after the end of the stream.
bool is_reset(boost::asio::ip::tcp::socket& socket);

}  // namespace fuchsiaquay
