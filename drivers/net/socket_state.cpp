#include "drivers/net/socket_state.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>

namespace fuchsiaquay {

using boost::asio::ip::tcp;

namespace {

constexpr int unknown_state = 0;

/// State of the connection as in `netinet/tcp.h`.
int connection_state(tcp::socket& socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    const int result = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return result == 0 ? info.tcpi_state : unknown_state;
}

int pending_error(tcp::socket& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

}  // namespace

std::size_t unacknowledged_bytes(tcp::socket& socket) {
    int bytes = 0;
    // Fails on a closed socket only, which has nothing left to send.
    if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

std::size_t unread_bytes(tcp::socket& socket) {
    boost::system::error_code error;
    const std::size_t bytes = socket.available(error);
    return error ? 0 : bytes;
}

bool is_ended_by_peer(tcp::socket& socket, const boost::system::error_code& write_error) {
    // A reset that follows the end of the stream is reported as EPIPE, any other one as ECONNRESET.
    // The kernel reports it once, to whichever operation comes first.
    if (write_error) {
        return write_error == boost::asio::error::broken_pipe;
    }
    const int state = connection_state(socket);
    if (state == TCP_CLOSE) {
        return pending_error(socket) == EPIPE;
    }
    return state == TCP_CLOSE_WAIT || state == unknown_state;
}

bool is_reset(tcp::socket& socket) {
    return connection_state(socket) == TCP_CLOSE;
}

}  // namespace fuchsiaquay
