#include "drivers/net/http_channel.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "core/relay/response_status.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/dial_result.hpp"
#include "drivers/net/socket_setup.hpp"
#include "drivers/net/upstream_dial.hpp"
#include "drivers/net/upstream_dialer.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Size of the response head and framing.
constexpr std::size_t max_framing_bytes = 1'048'576;
constexpr int http_1_1 = 11;

}  // namespace

class http_channel::connection : public std::enable_shared_from_this<connection> {
public:
    connection(control_loop& loop, network_address server, std::size_t max_response_bytes,
               upstream_dialer* dialer)
        : context_(loop.context()),
          dialer_(dialer),
          server_(std::move(server)),
          max_response_bytes_(max_response_bytes),
          timer_(context_),
          buffer_(max_response_bytes + max_framing_bytes) {}

    void enqueue(http_call call, handler done) {
        waiting_.push_back({std::move(call), std::move(done)});
        if (!active_) {
            start_next();
        }
    }

    void shut_down() {
        ended_ = true;
        timer_.cancel();
        close();
    }

private:
    struct pending_call {
        http_call call;
        handler done;
    };

    void start_next() {
        if (ended_ || waiting_.empty()) {
            return;
        }
        active_.emplace(std::move(waiting_.front()));
        waiting_.pop_front();
        ++sequence_;
        timer_.expires_after(active_->call.timeout);
        timer_.async_wait(
            [self = shared_from_this(), sequence = sequence_](const error_code& error) {
                if (!error && sequence == self->sequence_) {
                    self->fail("no answer in time");
                }
            });
        if (socket_ && is_idle_connection_usable(*socket_)) {
            write();
        } else {
            connect();
        }
    }

    void connect() {
        close();
        if (dialer_ != nullptr) {
            dial();
            return;
        }
        socket_ = std::make_shared<tcp::socket>(context_);
        socket_->async_connect(
            to_endpoint(server_),
            [self = shared_from_this(), sequence = sequence_](const error_code& error) {
                if (sequence != self->sequence_) {
                    return;
                }
                if (error) {
                    self->fail("connect: " + error.message());
                    return;
                }
                set_up_socket(*self->socket_);
                self->write();
            });
    }

    void dial() {
        dial_ = dialer_->dial(
            server_, active_->call.timeout / 2,
            [self = shared_from_this(), sequence = sequence_](const dial_result& result) {
                if (sequence != self->sequence_) {
                    return;
                }
                if (!result.connection.socket) {
                    self->fail(result.failure);
                    return;
                }
                self->socket_ = result.connection.socket;
                set_up_socket(*self->socket_);
                self->write();
            });
    }

    void write() {
        request_ = {};
        request_.version(http_1_1);
        request_.method_string(active_->call.method);
        request_.target(active_->call.target);
        request_.set(http::field::host, server_.text());
        if (!active_->call.body.empty()) {
            request_.set(http::field::content_type, "application/json");
            request_.body() = active_->call.body;
        }
        request_.prepare_payload();
        http::async_write(*socket_, request_,
                          [self = shared_from_this(), sequence = sequence_, socket = socket_](
                              const error_code& error, std::size_t /*bytes*/) {
                              if (sequence != self->sequence_) {
                                  return;
                              }
                              if (error) {
                                  self->fail("send: " + error.message());
                                  return;
                              }
                              self->read();
                          });
    }

    void read() {
        buffer_.clear();
        parser_.emplace();
        parser_->body_limit(max_response_bytes_);
        http::async_read(*socket_, buffer_, *parser_,
                         [self = shared_from_this(), sequence = sequence_, socket = socket_](
                             const error_code& error, std::size_t /*bytes*/) {
                             if (sequence != self->sequence_) {
                                 return;
                             }
                             if (error) {
                                 self->fail("receive: " + error.message());
                                 return;
                             }
                             self->succeed();
                         });
    }

    void succeed() {
        http_result result;
        result.status = static_cast<int>(parser_->get().result_int());
        if (!is_final_status(result.status)) {
            fail("receive: " + describe_invalid_status(result.status));
            return;
        }
        for (const auto& field : parser_->get()) {
            result.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        result.body = std::move(parser_->get().body());
        if (!parser_->get().keep_alive() || buffer_.size() > 0) {
            close();
        }
        finish(result);
    }

    void fail(const std::string& reason) {
        close();
        http_result result;
        result.failure = reason;
        finish(result);
    }

    void finish(const http_result& result) {
        ++sequence_;
        timer_.cancel();
        const handler done = std::move(active_->done);
        active_.reset();
        done(result);
        if (!active_) {
            start_next();
        }
    }

    void close() {
        if (dial_) {
            dial_->cancel();
            dial_.reset();
        }
        if (socket_) {
            error_code ignored;
            socket_->close(ignored);
            socket_.reset();
        }
    }

    asio::io_context& context_;
    upstream_dialer* dialer_;
    std::shared_ptr<upstream_dial> dial_;
    network_address server_;
    std::size_t max_response_bytes_;
    asio::steady_timer timer_;
    std::shared_ptr<tcp::socket> socket_;
    std::deque<pending_call> waiting_;
    std::optional<pending_call> active_;
    /// Increased when a call starts and when it ends, so that handlers of earlier calls do nothing.
    std::uint64_t sequence_ = 0;
    bool ended_ = false;
    http::request<http::string_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

http_channel::http_channel(control_loop& loop, network_address server,
                           std::size_t max_response_bytes, upstream_dialer* dialer)
    : connection_(
          std::make_shared<connection>(loop, std::move(server), max_response_bytes, dialer)) {}

http_channel::~http_channel() {
    connection_->shut_down();
}

void http_channel::send(http_call call, handler done) {
    connection_->enqueue(std::move(call), std::move(done));
}

}  // namespace fuchsiaquay
