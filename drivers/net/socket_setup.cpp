#include "drivers/net/socket_setup.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address_v4.hpp>
#include <cerrno>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// The connection is closed when sent data stays unacknowledged, or the peer's window closed, for
/// this time.
constexpr int user_timeout_ms = 3'000;
/// Idle time before the first keep-alive probe, and interval between probes.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
/// Unanswered probes after which the connection is closed.
constexpr int keepalive_probes = 2;
constexpr int listen_backlog = 1'024;

void set_tcp_option(tcp::socket& socket, int option, int value) {
    // Setting options fails on a socket that the peer has reset; the next operation reports it.
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
}

}  // namespace

void set_up_socket(tcp::socket& socket) {
    set_up_traffic_socket(socket);
    set_tcp_option(socket, TCP_USER_TIMEOUT, user_timeout_ms);
}

void set_up_traffic_socket(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, keepalive_idle_s);
    set_tcp_option(socket, TCP_KEEPINTVL, keepalive_interval_s);
    set_tcp_option(socket, TCP_KEEPCNT, keepalive_probes);
}

tcp::endpoint to_endpoint(const network_address& address) {
    return {asio::ip::make_address_v4(address.ip), address.port};
}

bool is_idle_connection_usable(tcp::socket& socket) {
    char byte = 0;
    const auto received = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

tcp::acceptor listen_at(asio::io_context& context, const network_address& address) {
    try {
        const tcp::endpoint endpoint = to_endpoint(address);
        tcp::acceptor acceptor(context);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(listen_backlog);
        return acceptor;
    } catch (const boost::system::system_error& error) {
        throw operation_error("listen", address.text(), error.what());
    }
}

}  // namespace fuchsiaquay
