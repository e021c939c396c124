#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace fuchsiaquay {

/// Bytes written to `socket` that the peer has not acknowledged; the end of the stream counts as
/// one byte. 0 when the socket is closed or was reset.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

/// Bytes that the kernel received and that were not read.
std::size_t unread_bytes(boost::asio::ip::tcp::socket& socket);

/// Whether a connection was lost although its stream seems to have ended, as told by the error of
/// the last write.
bool is_lost_connection(const boost::system::error_code& write_error);

}  // namespace fuchsiaquay
