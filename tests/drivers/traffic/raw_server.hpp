#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/drivers/traffic/loopback.hpp"

namespace fuchsiaquay::testing {

/// TCP server on which a test sends and receives raw bytes.
class raw_server {
public:
    explicit raw_server(control_loop& loop)
        : loop_(loop),
          acceptor_(loop.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        accept();
    }

    network_address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    bool expect(const std::string& text) {
        return run_until(loop_, [&] { return received.find(text) != std::string::npos; });
    }
    void send(const std::string& bytes) {
        boost::asio::write(*connection_, boost::asio::buffer(bytes));
    }
    /// Closes the connection, with a TCP reset when `reset` is set.
    void close(bool reset) {
        boost::system::error_code ignored;
        connection_->set_option(boost::asio::socket_base::linger(reset, 0), ignored);
        connection_->close(ignored);
    }

    /// Closes the connection and takes no other one, as the kernel does for a process that was
    /// killed.
    void end() {
        acceptor_.close();
        close(false);
    }

    /// Closes all connections in order and goes on listening, as a proxy does that loses its path.
    void close_all() {
        for (const auto& connection : accepted_) {
            boost::system::error_code ignored;
            connection->close(ignored);
        }
        accepted_.clear();
    }

    /// Ends the sending direction, so that the peer reads the end of the stream.
    void shut_down() {
        boost::system::error_code ignored;
        connection_->shutdown(tcp::socket::shutdown_send, ignored);
    }

    /// Stops reading; what arrives fills the buffers of the kernel.
    void pause_reading() { paused_ = true; }
    void resume_reading() {
        paused_ = false;
        read(connection_);
    }

    /// Reads `bytes` bytes without the loop, while reading is paused.
    void drain(std::size_t bytes) {
        std::string ignored(bytes, '\0');
        boost::asio::read(*connection_, boost::asio::buffer(ignored));
    }

    std::string received;
    int connections = 0;
    bool closed = false;
    /// Connections that the peer has closed in order.
    int ended_by_peer = 0;

private:
    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections;
            connection_ = std::make_shared<tcp::socket>(std::move(socket));
            accepted_.push_back(connection_);
            read(connection_);
            accept();
        });
    }
    void read(const std::shared_ptr<tcp::socket>& socket) {
        socket->async_read_some(
            boost::asio::buffer(buffer_),
            [this, socket](const boost::system::error_code& error, std::size_t bytes) {
                received.append(buffer_, bytes);
                if (error) {
                    closed = true;
                    ended_by_peer += error == boost::asio::error::eof ? 1 : 0;
                } else if (!paused_) {
                    read(socket);
                }
            });
    }

    control_loop& loop_;
    tcp::acceptor acceptor_;
    /// The latest connection.
    std::shared_ptr<tcp::socket> connection_;
    std::vector<std::shared_ptr<tcp::socket>> accepted_;
    bool paused_ = false;
    char buffer_[65536] = {};
};

}  // namespace fuchsiaquay::testing
