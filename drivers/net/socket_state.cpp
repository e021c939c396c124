#include "drivers/net/socket_state.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/error.hpp>

namespace fuchsiaquay {

using boost::asio::ip::tcp;

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

bool is_lost_connection(const boost::system::error_code& write_error) {
    // The kernel reports a lost connection once, to the write if that is pending, and reads then
    // return the end of the stream. After an orderly end of the answer, writes fail with EPIPE.
    return write_error && write_error != boost::asio::error::broken_pipe;
}

}  // namespace fuchsiaquay
