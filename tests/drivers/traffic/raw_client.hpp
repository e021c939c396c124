#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "tests/drivers/traffic/loopback.hpp"

namespace fuchsiaquay::testing {

/// TCP client that sends and receives raw bytes on the test's event loop.
class raw_client {
public:
    raw_client(control_loop& loop, const network_address& server)
        : loop_(loop), socket_(loop.context()) {
        socket_.connect({boost::asio::ip::make_address_v4(server.ip), server.port});
        read();
    }

    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
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
    /// Expires with the client; a pending handler may run later than that.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay::testing
