#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// One TCP connection that carries frames. Lives as long as an operation is pending on it; after
/// `close` none of its handlers runs.
class frame_connection final : public std::enable_shared_from_this<frame_connection> {
public:
    /// Receives what follows the length field of one frame.
    using payload_handler =
        std::function<void(const std::shared_ptr<frame_connection>&, std::string_view payload)>;
    using event_handler = std::function<void(const std::shared_ptr<frame_connection>&)>;

    /// `socket` is connected, or closed if `connect` follows.
    explicit frame_connection(boost::asio::ip::tcp::socket socket);

    /// `closed` runs once when the other end or an error ends the connection.
    void set_handlers(payload_handler received, event_handler closed);
    /// Connects, then starts reading and calls `connected`.
    void connect(const boost::asio::ip::tcp::endpoint& peer, event_handler connected);
    /// Starts reading on a connected socket.
    void start();
    /// Writes one batch of frames. Only while `writable`.
    void write(std::string batch, event_handler written);
    bool writable() const noexcept { return open_ && connected_ && !writing_; }
    bool connected() const noexcept { return connected_; }
    bool open() const noexcept { return open_; }
    /// IP number of the other end, empty when unknown.
    std::string remote_address() const;
    void close();

    /// Time of the last use, kept by the owner.
    instant last_used{};

private:
    void read_header();
    void read_payload(std::size_t length);
    void fail();

    boost::asio::ip::tcp::socket socket_;
    payload_handler received_;
    event_handler closed_;
    std::string header_;
    std::string payload_;
    std::string batch_;
    bool open_ = true;
    bool connected_ = false;
    bool writing_ = false;
};

}  // namespace fuchsiaquay
