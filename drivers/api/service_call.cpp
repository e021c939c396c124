#include "drivers/api/service_call.hpp"

#include <pplx/threadpool.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <utility>

#include "core/relay/process_end_time.hpp"
#include "core/relay/response_status.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t max_response_header_bytes = 65'536;

/// True for errors that the bytes of an answer cause, and not the end of the connection.
bool is_malformed(const error_code& error) {
    return error.category() == make_error_code(http::error::bad_status).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

service_call::service_call(const std::string& address, std::uint16_t port, request message,
                           handler done)
    : address_(address),
      port_(port),
      message_(std::move(message)),
      done_(std::move(done)),
      strand_(asio::make_strand(crossplat::threadpool::shared_instance().service())),
      resolver_(strand_),
      socket_(strand_),
      timer_(strand_) {}

void service_call::start() {
    asio::dispatch(strand_, [self = shared_from_this()] { self->resolve(); });
}

void service_call::resolve() {
    if (!done_) {
        return;
    }
    resolver_.async_resolve(address_, std::to_string(port_),
                            [self = shared_from_this()](const error_code& error,
                                                        const tcp::resolver::results_type& found) {
                                if (error) {
                                    self->fail("connect");
                                    return;
                                }
                                if (self->done_) {
                                    self->connect(found);
                                }
                            });
}

void service_call::connect(const tcp::resolver::results_type& endpoints) {
    asio::async_connect(
        socket_, endpoints,
        [self = shared_from_this()](const error_code& error, const tcp::endpoint& connected) {
            if (error) {
                self->fail("connect");
                return;
            }
            self->service_ = connected;
            self->write();
        });
}

void service_call::write() {
    http::async_write(socket_, message_,
                      [self = shared_from_this()](const error_code& error, std::size_t /*bytes*/) {
                          if (error) {
                              self->fail("broken");
                              return;
                          }
                          self->read();
                      });
}

void service_call::read() {
    parser_.emplace();
    parser_->header_limit(max_response_header_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(message_.method() == http::verb::head);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error, std::size_t /*bytes*/) {
                         if (error) {
                             self->fail(is_malformed(error) ? "malformed_answer" : "broken");
                             return;
                         }
                         self->on_read();
                     });
}

void service_call::on_read() {
    auto& answer = parser_->get();
    const int status = static_cast<int>(answer.result_int());
    if (is_interim_status(status)) {
        read();
        return;
    }
    if (!is_final_status(status)) {
        fail("invalid_status");
        return;
    }
    if (parser_->need_eof()) {
        confirm_end();
        return;
    }
    succeed();
}

void service_call::confirm_end() {
    error_code ignored;
    socket_.close(ignored);
    timer_.expires_after(process_end_time);
    timer_.async_wait([self = shared_from_this()](const error_code& /*error*/) {
        if (!self->done_) {
            return;
        }
        self->socket_.async_connect(self->service_, [self](const error_code& error) {
            if (error) {
                self->fail("broken");
            } else {
                self->succeed();
            }
        });
    });
}

void service_call::succeed() {
    auto& answer = parser_->get();
    result outcome;
    outcome.status = static_cast<int>(answer.result_int());
    outcome.content_type = std::string(answer[http::field::content_type]);
    outcome.body = std::move(answer.body());
    finish(outcome);
}

void service_call::fail(const char* failure) {
    result outcome;
    outcome.failure = failure;
    finish(outcome);
}

void service_call::finish(const result& outcome) {
    error_code ignored;
    socket_.close(ignored);
    if (const handler done = std::exchange(done_, nullptr)) {
        done(outcome);
    }
}

void service_call::cancel() {
    asio::dispatch(strand_, [self = shared_from_this()] {
        self->done_ = nullptr;
        self->resolver_.cancel();
        self->timer_.cancel();
        error_code ignored;
        self->socket_.close(ignored);
    });
}

}  // namespace fuchsiaquay
