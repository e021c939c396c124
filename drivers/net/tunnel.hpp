#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace fuchsiaquay {

class connection_end_evidence;
class control_loop;

/// Forwards the bytes between a host and an upstream. The end of the upstream's stream and a reset
/// of its connection reach the host as they are, since an answer without a length is complete only
/// after the former.
class tunnel : public std::enable_shared_from_this<tunnel> {
public:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    /// @param ended  called once, after both connections are closed
    tunnel(control_loop& loop, std::shared_ptr<const connection_end_evidence> evidence,
           socket_ptr host, socket_ptr upstream, std::function<void()> ended);
    tunnel(const tunnel&) = delete;
    tunnel& operator=(const tunnel&) = delete;
    ~tunnel();

    void start();
    void close();

private:
    static constexpr std::size_t buffer_bytes = 16'384;
    using buffer = std::array<char, buffer_bytes>;

    void read_host();
    void on_host_bytes(std::size_t bytes);
    void read_upstream();
    void on_upstream_bytes(std::size_t bytes);
    void on_upstream_end();
    /// Closes both connections, that of the host with a reset.
    void reset();

    control_loop& loop_;
    std::shared_ptr<const connection_end_evidence> evidence_;
    socket_ptr host_;
    socket_ptr upstream_;
    std::function<void()> ended_;
    buffer to_upstream_{};
    buffer to_host_{};
    boost::system::error_code upstream_write_error_;
};

}  // namespace fuchsiaquay
