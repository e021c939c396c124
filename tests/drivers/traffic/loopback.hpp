#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/fleet/network_address.hpp"
#include "drivers/control/control_loop.hpp"

namespace fuchsiaquay::testing {

using tcp = boost::asio::ip::tcp;

/// A free port of the loopback interface.
inline network_address free_address() {
    boost::asio::io_context context;
    tcp::acceptor probe(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Runs the loop until `done`, at most five seconds.
inline bool run_until(control_loop& loop, const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop.context().run_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// A client that works on raw bytes, in the loop of the test.
class raw_client {
public:
    raw_client(control_loop& loop, const network_address& server)
        : loop_(loop), socket_(loop.context()) {
        socket_.connect({boost::asio::ip::make_address_v4(server.ip), server.port});
        read();
    }

    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    /// Waits until what came holds `text`.
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

    std::string received;
    bool closed = false;

private:
    void read() {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [this, alive = std::weak_ptr<int>(alive_)](
                                    const boost::system::error_code& error, std::size_t bytes) {
                                    if (alive.expired()) {
                                        return;
                                    }
                                    received.append(buffer_, bytes);
                                    if (error) {
                                        closed = true;
                                    } else {
                                        read();
                                    }
                                });
    }

    control_loop& loop_;
    tcp::socket socket_;
    char buffer_[4096] = {};
    /// Ends with the client, which a handler may outlive.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

/// A server whose connections a test drives byte by byte.
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
    /// Ends the connection with a reset, or in the usual way.
    void close(bool reset) {
        boost::system::error_code ignored;
        connection_->set_option(boost::asio::socket_base::linger(reset, 0), ignored);
        connection_->close(ignored);
    }

    std::string received;
    int connections = 0;
    bool closed = false;

private:
    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections;
            connection_ = std::make_shared<tcp::socket>(std::move(socket));
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
                } else {
                    read(socket);
                }
            });
    }

    control_loop& loop_;
    tcp::acceptor acceptor_;
    std::shared_ptr<tcp::socket> connection_;
    char buffer_[65536] = {};
};

}  // namespace fuchsiaquay::testing
