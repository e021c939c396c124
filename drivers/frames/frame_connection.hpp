#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A TCP connection that transfers frames. Pending operations keep the object alive. After `close`
/// no handler is called.
class frame_connection final : public std::enable_shared_from_this<frame_connection> {
public:
    /// Receives the payload of one frame, without the length field.
    using payload_handler =
        std::function<void(const std::shared_ptr<frame_connection>&, std::string_view payload)>;
    using event_handler = std::function<void(const std::shared_ptr<frame_connection>&)>;

    /// @param socket  connected, or closed if `connect` is called next
    explicit frame_connection(boost::asio::ip::tcp::socket socket);

    /// @param closed  called once when the remote end or an error ends the connection
    void set_handlers(payload_handler received, event_handler closed);
    /// Connects, then starts reading and calls `connected`.
    void connect(const boost::asio::ip::tcp::endpoint& peer, event_handler connected);
    /// Starts reading on a connected socket.
    void start();
    /// Writes a batch of frames. Call only while `writable`.
    void write(std::string batch, event_handler written);
    bool writable() const noexcept { return open_ && connected_ && !writing_; }
    bool connected() const noexcept { return connected_; }
    bool open() const noexcept { return open_; }
    /// IP address of the remote end; empty if unknown.
    std::string remote_address() const;
    void close();

    /// Time of the last use, updated by the owner.
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
