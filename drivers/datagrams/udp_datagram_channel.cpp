#include "drivers/datagrams/udp_datagram_channel.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <utility>

#include "core/error/operation_error.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/datagrams/datagram_codec.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t max_datagram_bytes = 65'536;

udp::endpoint to_udp_endpoint(const network_address& address) {
    return {asio::ip::make_address_v4(address.ip), address.port};
}

}  // namespace

class udp_datagram_channel::impl : public std::enable_shared_from_this<impl> {
public:
    impl(control_loop& loop, decision_log& log, const network_address& address)
        : loop_(loop), log_(log), socket_(loop.context()) {
        try {
            socket_.open(udp::v4());
            socket_.non_blocking(true);
            socket_.bind(to_udp_endpoint(address));
        } catch (const boost::system::system_error& error) {
            throw operation_error("listen for datagrams", address.text(), error.what());
        }
    }

    void wait_for_datagrams() {
        socket_.async_wait(udp::socket::wait_read,
                           [self = shared_from_this()](const error_code& error) {
                               if (error || !self->socket_.is_open()) {
                                   return;
                               }
                               self->receive_pending();
                               self->wait_for_datagrams();
                           });
    }

    void send(const std::vector<network_address>& receivers, const std::string& bytes) {
        for (const network_address& address : receivers) {
            error_code ignored;
            // A failed send counts as packet loss: every message is sent again later.
            socket_.send_to(asio::buffer(bytes), to_udp_endpoint(address), 0, ignored);
        }
    }

    void close() {
        error_code ignored;
        socket_.close(ignored);
    }

    control_loop& loop_;
    decision_log& log_;
    handler receive_;

private:
    void receive_pending() {
        while (true) {
            udp::endpoint sender;
            error_code error;
            const std::size_t bytes = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
            if (error) {
                return;
            }
            deliver(std::string_view(buffer_.data(), bytes), sender);
        }
    }

    void deliver(std::string_view bytes, const udp::endpoint& sender) {
        try {
            const peer_datagram message = decode_datagram(bytes, loop_.now());
            if (receive_) {
                receive_(message);
            }
        } catch (const std::exception& error) {
            log_.write(decision_log::level::warning, "datagram_unreadable",
                       {{"peer", sender.address().to_string()}, {"reason", error.what()}});
        }
    }

    udp::socket socket_;
    std::array<char, max_datagram_bytes> buffer_{};
};

udp_datagram_channel::udp_datagram_channel(control_loop& loop, decision_log& log,
                                           const network_address& address)
    : impl_(std::make_shared<impl>(loop, log, address)) {
    impl_->wait_for_datagrams();
}

udp_datagram_channel::~udp_datagram_channel() {
    impl_->close();
}

void udp_datagram_channel::send(const std::vector<network_address>& receivers,
                                const peer_datagram& message) {
    impl_->send(receivers, encode_datagram(message, impl_->loop_.now()));
}

void udp_datagram_channel::on_receive(handler receive) {
    impl_->receive_ = std::move(receive);
}

}  // namespace fuchsiaquay
