#include "drivers/frames/frame_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "drivers/frames/frame_codec.hpp"

namespace fuchsiaquay {

using boost::system::error_code;

frame_connection::frame_connection(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), header_(frame_codec::length_bytes, '\0') {}

void frame_connection::set_handlers(payload_handler received, event_handler closed) {
    received_ = std::move(received);
    closed_ = std::move(closed);
}

void frame_connection::connect(const boost::asio::ip::tcp::endpoint& peer,
                               event_handler connected) {
    socket_.async_connect(
        peer, [self = shared_from_this(), done = std::move(connected)](const error_code& error) {
            if (!self->open_) {
                return;
            }
            if (error) {
                self->fail();
                return;
            }
            self->start();
            done(self);
        });
}

void frame_connection::start() {
    connected_ = true;
    error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    read_header();
}

void frame_connection::write(std::string batch, event_handler written) {
    writing_ = true;
    batch_ = std::move(batch);
    boost::asio::async_write(socket_, boost::asio::buffer(batch_),
                             [self = shared_from_this(), done = std::move(written)](
                                 const error_code& error, std::size_t) {
                                 self->writing_ = false;
                                 if (!self->open_) {
                                     return;
                                 }
                                 if (error) {
                                     self->fail();
                                     return;
                                 }
                                 done(self);
                             });
}

std::string frame_connection::remote_address() const {
    error_code error;
    const auto endpoint = socket_.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

void frame_connection::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    received_ = nullptr;
    closed_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
}

void frame_connection::read_header() {
    boost::asio::async_read(socket_, boost::asio::buffer(header_),
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                                if (!self->open_) {
                                    return;
                                }
                                const std::optional<std::size_t> length =
                                    error ? std::nullopt
                                          : frame_codec::payload_length(self->header_);
                                if (!length) {
                                    self->fail();
                                    return;
                                }
                                self->read_payload(*length);
                            });
}

void frame_connection::read_payload(std::size_t length) {
    payload_.resize(length);
    boost::asio::async_read(socket_, boost::asio::buffer(payload_),
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                                if (!self->open_) {
                                    return;
                                }
                                if (error) {
                                    self->fail();
                                    return;
                                }
                                // A copy keeps the handler alive if it closes the connection.
                                const payload_handler received = self->received_;
                                received(self, self->payload_);
                                if (self->open_) {
                                    self->read_header();
                                }
                            });
}

void frame_connection::fail() {
    const event_handler closed = closed_;
    close();
    if (closed) {
        closed(shared_from_this());
    }
}

}  // namespace fuchsiaquay
