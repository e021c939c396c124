#include "tests/stand_ins/cut_proxy/proxy_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace fuchsiaquay::stand_ins {

namespace asio = boost::asio;
using boost::system::error_code;

proxy_connection::proxy_connection(asio::io_context& context, asio::ip::tcp::socket client,
                                   std::chrono::milliseconds delay)
    : client_(std::move(client)), server_(context), delay_(delay) {
    up_.from = &client_;
    up_.to = &server_;
    down_.from = &server_;
    down_.to = &client_;
    up_.timer = std::make_unique<asio::steady_timer>(context);
    down_.timer = std::make_unique<asio::steady_timer>(context);
}

void proxy_connection::start(const asio::ip::tcp::endpoint& target) {
    server_.async_connect(target, [self = shared_from_this()](const error_code& error) {
        if (error) {
            self->cut();
            return;
        }
        error_code ignored;
        self->client_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->server_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read(self->up_);
        self->read(self->down_);
    });
}

void proxy_connection::cut() {
    error_code ignored;
    for (asio::ip::tcp::socket* socket : {&client_, &server_}) {
        // A linger time of 0 makes the close send a reset.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

void proxy_connection::read(pipe& direction) {
    direction.from->async_read_some(
        asio::buffer(direction.bytes),
        [self = shared_from_this(), &direction](const error_code& error, std::size_t length) {
            if (self->silent_) {
                if (!error) {
                    self->read(direction);
                }
                return;
            }
            if (error) {
                self->end(direction);
                return;
            }
            if (self->delay_.count() == 0) {
                self->write(direction, length);
                return;
            }
            direction.timer->expires_after(self->delay_);
            direction.timer->async_wait(
                [self, &direction, length](const error_code&) { self->write(direction, length); });
        });
}

void proxy_connection::write(pipe& direction, std::size_t length) {
    asio::async_write(
        *direction.to, asio::buffer(direction.bytes, length),
        [self = shared_from_this(), &direction](const error_code& error, std::size_t) {
            if (error) {
                self->end(direction);
                return;
            }
            self->read(direction);
        });
}

void proxy_connection::end(pipe& direction) {
    error_code ignored;
    direction.to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (++ended_directions_ == 2) {
        client_.close(ignored);
        server_.close(ignored);
    }
}

}  // namespace fuchsiaquay::stand_ins
