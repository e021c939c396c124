#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace fuchsiaquay::stand_ins {

/// One connection through a `cut_proxy`: two sockets and the bytes between them. All members run
/// on the thread of the proxy.
class proxy_connection : public std::enable_shared_from_this<proxy_connection> {
public:
    proxy_connection(boost::asio::io_context& context, boost::asio::ip::tcp::socket client,
                     std::chrono::milliseconds delay);

    /// Connects to `target` and forwards bytes in both directions.
    void start(const boost::asio::ip::tcp::endpoint& target);

    /// Keeps the connection open but forwards nothing from now on.
    void silence() { silent_ = true; }

    /// Resets both sides.
    void cut();

    bool is_open() const { return client_.is_open(); }

private:
    /// One direction.
    struct pipe {
        boost::asio::ip::tcp::socket* from = nullptr;
        boost::asio::ip::tcp::socket* to = nullptr;
        std::array<char, 65536> bytes{};
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void read(pipe& direction);
    void write(pipe& direction, std::size_t length);
    void end(pipe& direction);

    boost::asio::ip::tcp::socket client_;
    boost::asio::ip::tcp::socket server_;
    const std::chrono::milliseconds delay_;
    bool silent_ = false;
    int ended_directions_ = 0;
    pipe up_;
    pipe down_;
};

}  // namespace fuchsiaquay::stand_ins
