#include "drivers/net/tunnel.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/relay/connection_end_evidence.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_state.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tunnel::tunnel(control_loop& loop, std::shared_ptr<const connection_end_evidence> evidence,
               socket_ptr host, socket_ptr upstream, std::function<void()> ended)
    : loop_(loop),
      evidence_(std::move(evidence)),
      host_(std::move(host)),
      upstream_(std::move(upstream)),
      ended_(std::move(ended)) {}

tunnel::~tunnel() {
    ended_();
}

void tunnel::start() {
    read_host();
    read_upstream();
}

void tunnel::read_host() {
    host_->async_read_some(asio::buffer(to_upstream_),
                           [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                               if (error) {
                                   self->close();
                               } else {
                                   self->on_host_bytes(bytes);
                               }
                           });
}

void tunnel::on_host_bytes(std::size_t bytes) {
    if (upstream_write_error_) {
        // The host learns of the failure from the end of the answer, and may still be sending.
        read_host();
        return;
    }
    asio::async_write(*upstream_, asio::buffer(to_upstream_.data(), bytes),
                      [self = shared_from_this()](const error_code& error, std::size_t /*bytes*/) {
                          self->upstream_write_error_ = error;
                          self->read_host();
                      });
}

void tunnel::read_upstream() {
    upstream_->async_read_some(
        asio::buffer(to_host_),
        [self = shared_from_this()](const error_code& error, std::size_t bytes) {
            if (!error) {
                self->on_upstream_bytes(bytes);
            } else if (error != asio::error::eof) {
                self->reset();
            } else {
                // The handler of a write that has failed already may be queued behind this one.
                asio::post(self->loop_.context(), [self] { self->on_upstream_end(); });
            }
        });
}

void tunnel::on_upstream_bytes(std::size_t bytes) {
    asio::async_write(*host_, asio::buffer(to_host_.data(), bytes),
                      [self = shared_from_this()](const error_code& error, std::size_t /*bytes*/) {
                          if (error) {
                              self->close();
                          } else {
                              self->read_upstream();
                          }
                      });
}

void tunnel::on_upstream_end() {
    // After a suspension, another process may confirm the end to the host.
    if (!is_ended_by_peer(*upstream_, upstream_write_error_) ||
        evidence_->suspended_before(loop_.now())) {
        reset();
        return;
    }
    error_code ignored;
    host_->shutdown(tcp::socket::shutdown_send, ignored);
}

void tunnel::reset() {
    error_code ignored;
    host_->set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void tunnel::close() {
    error_code ignored;
    host_->close(ignored);
    upstream_->close(ignored);
}

}  // namespace fuchsiaquay
