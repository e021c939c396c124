#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <memory>
#include <string>
#include <system_error>

#include "tests/drivers/traffic/loopback.hpp"

namespace fuchsiaquay::testing {

/// TCP client that sends and receives raw bytes on the test's event loop.
class raw_client {
public:
    /// @param receive_buffer  size of the kernel's receive buffer; 0 keeps the system's default
    raw_client(control_loop& loop, const network_address& server, int receive_buffer = 0)
        : loop_(loop), socket_(loop.context()) {
        socket_.open(tcp::v4());
        if (receive_buffer > 0) {
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer));
        }
        socket_.connect({boost::asio::ip::make_address_v4(server.ip), server.port});
        read();
    }

    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    /// Sends what the kernel accepts. Returns false if the connection is closed.
    bool try_send(const std::string& bytes) {
        boost::system::error_code error;
        socket_.non_blocking(true);
        socket_.write_some(boost::asio::buffer(bytes), error);
        return !error || error == boost::asio::error::would_block;
    }
    /// Reads on the calling thread until `count` bytes were received or the connection ends.
    void read_blocking(std::size_t count) {
        char bytes[4096];
        boost::system::error_code error;
        socket_.non_blocking(false);
        while (received.size() < count && !error) {
            received.append(bytes, socket_.read_some(boost::asio::buffer(bytes), error));
        }
        end_error = error;
    }
    /// Waits until the received bytes contain `text`.
    bool expect(const std::string& text) {
        return run_until(loop_, [&] { return received.find(text) != std::string::npos; });
    }
    bool expect_close() {
        return run_until(loop_, [&] { return closed; });
    }
    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    /// Ends the stream towards the server and keeps reading.
    void close_sending_half() { socket_.shutdown(tcp::socket::shutdown_send); }
    void reset() {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    /// From now on, the kernel drops every packet for this client: a host that has lost its
    /// network.
    void vanish() {
        sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop_all};
        if (setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof program) != 0) {
            throw std::system_error(errno, std::generic_category(), "SO_ATTACH_FILTER");
        }
    }
    /// Bytes stay in the kernel's receive buffer, until it is full, or `resume_reading`.
    void stop_reading() {
        paused_ = true;
        socket_.cancel();
    }
    void resume_reading() {
        paused_ = false;
        read();
    }

    std::string received;
    bool closed = false;
    /// Error that ended the connection; end of stream if it ended in an orderly way.
    boost::system::error_code end_error;

private:
    void read() {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [this, alive = std::weak_ptr<int>(alive_)](
                                    const boost::system::error_code& error, std::size_t bytes) {
                                    if (alive.expired()) {
                                        return;
                                    }
                                    received.append(buffer_, bytes);
                                    if (paused_) {
                                        return;
                                    }
                                    if (error) {
                                        closed = true;
                                        end_error = error;
                                    } else {
                                        read();
                                    }
                                });
    }

    control_loop& loop_;
    tcp::socket socket_;
    bool paused_ = false;
    char buffer_[4096] = {};
    /// Expires with the client; a pending handler may run later than that.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay::testing
