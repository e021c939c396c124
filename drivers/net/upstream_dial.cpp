#include "drivers/net/upstream_dial.hpp"

#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_setup.hpp"
#include "drivers/net/tunnel_process_field.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int http_1_1 = 11;
constexpr std::uint32_t max_answer_bytes = 1'024;
/// Hosts that are asked for a tunnel before the upstream is tried directly.
constexpr std::size_t max_peers_asked = 8;

/// Other errors, such as a lack of descriptors, are this host's own.
bool tells_of_path(const error_code& error) {
    return error == asio::error::connection_refused || error == asio::error::connection_reset ||
           error == asio::error::timed_out || error == asio::error::host_unreachable ||
           error == asio::error::network_unreachable;
}

}  // namespace

upstream_dial::upstream_dial(upstream_dialer& owner, network_address upstream,
                             upstream_dialer::handler done)
    : owner_(owner),
      owner_alive_(owner.alive_),
      upstream_(std::move(upstream)),
      done_(std::move(done)),
      timer_(owner.loop_.context()),
      buffer_(max_answer_bytes) {}

void upstream_dial::start(duration timeout, bool direct) {
    start_timer(timeout);
    may_use_peers_ = !direct;
    if (!start_with_peers()) {
        connect_directly();
    }
}

void upstream_dial::start_through(const leading_host& peer, duration timeout) {
    start_timer(timeout);
    may_use_peers_ = false;
    may_connect_directly_ = false;
    required_process_ = peer.process;
    peers_ = {peer.address};
    try_next_peer();
}

void upstream_dial::start_timer(duration timeout) {
    // Throws for an address that is no IP number, which must not leave a running timer behind.
    (void)to_endpoint(upstream_);
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error) {
            self->on_timeout();
        }
    });
}

bool upstream_dial::start_with_peers() {
    if (!may_use_peers_ || !owner_.blocked()) {
        return false;
    }
    may_use_peers_ = false;
    peers_ = owner_.usable_peers();
    if (peers_.size() > max_peers_asked) {
        peers_.resize(max_peers_asked);
    }
    try_next_peer();
    return true;
}

bool upstream_dial::ended() const {
    return !done_ || owner_alive_.expired();
}

void upstream_dial::connect_directly() {
    peer_.reset();
    socket_ = std::make_shared<tcp::socket>(timer_.get_executor());
    socket_->async_connect(to_endpoint(upstream_),
                           [self = shared_from_this(), socket = socket_](const error_code& error) {
                               if (self->ended()) {
                                   return;
                               }
                               self->on_direct_result(error);
                           });
}

void upstream_dial::on_direct_result(const error_code& error) {
    if (!error || tells_of_path(error)) {
        owner_.record_direct(upstream_, !error);
    }
    if (!error) {
        succeed();
        return;
    }
    if (!start_with_peers()) {
        // On a path in doubt, a refusal need not come from the upstream's host.
        const bool refused = error == asio::error::connection_refused && !owner_.in_doubt();
        fail(error.message(), refused);
    }
}

void upstream_dial::try_next_peer() {
    if (peers_.empty() && !may_connect_directly_) {
        fail("the host does not help", false);
        return;
    }
    if (peers_.empty()) {
        // The upstreams may be reachable again.
        connect_directly();
        return;
    }
    peer_ = peers_.front();
    peers_.erase(peers_.begin());
    socket_ = std::make_shared<tcp::socket>(timer_.get_executor());
    socket_->async_connect(to_endpoint(*peer_),
                           [self = shared_from_this(), socket = socket_](const error_code& error) {
                               if (self->ended()) {
                                   return;
                               }
                               if (error) {
                                   self->leave_out_peer();
                               } else {
                                   self->ask_for_tunnel();
                               }
                           });
}

void upstream_dial::ask_for_tunnel() {
    request_ = {};
    request_.version(http_1_1);
    request_.method(http::verb::connect);
    request_.target(upstream_.text());
    request_.set(http::field::host, upstream_.text());
    http::async_write(*socket_, request_,
                      [self = shared_from_this(), socket = socket_](const error_code& error,
                                                                    std::size_t /*bytes*/) {
                          if (self->ended()) {
                              return;
                          }
                          if (error) {
                              self->leave_out_peer();
                          } else {
                              self->read_answer();
                          }
                      });
}

void upstream_dial::read_answer() {
    buffer_.clear();
    answer_.emplace();
    answer_->skip(true);
    http::async_read_header(
        *socket_, buffer_, *answer_,
        [self = shared_from_this(), socket = socket_](const error_code& error,
                                                      std::size_t /*bytes*/) {
            if (self->ended()) {
                return;
            }
            const bool complete = !error && self->buffer_.size() == 0;
            self->on_answer(complete ? static_cast<int>(self->answer_->get().result_int()) : 0);
        });
}

void upstream_dial::on_answer(int status) {
    if (status == static_cast<int>(http::status::ok)) {
        owner_.record_tunnel(*peer_);
        process_ = std::string(answer_->get()[tunnel_process_field]);
        if (process_ != required_process_.value_or(process_)) {
            fail("the host has restarted", false);
            return;
        }
        succeed();
        return;
    }
    if (status == static_cast<int>(http::status::bad_gateway)) {
        fail(error_code(asio::error::connection_refused).message(), true);
        return;
    }
    if (status == static_cast<int>(http::status::gateway_timeout)) {
        owner_.doubt_peer(*peer_);
        try_next_peer();
        return;
    }
    leave_out_peer();
}

void upstream_dial::leave_out_peer() {
    owner_.avoid_peer(*peer_);
    try_next_peer();
}

void upstream_dial::on_timeout() {
    if (ended()) {
        return;
    }
    if (peer_) {
        owner_.doubt_peer(*peer_);
    } else {
        owner_.record_direct(upstream_, false);
    }
    fail("no answer in time", false);
}

void upstream_dial::succeed() {
    set_up_traffic_socket(*socket_);
    dial_result result;
    result.connection.socket = std::move(socket_);
    if (peer_) {
        result.connection.peer = leading_host{*peer_, process_};
    }
    finish(std::move(result));
}

void upstream_dial::fail(const std::string& reason, bool refused) {
    dial_result result;
    result.failure = "connect" + (peer_ ? " through " + peer_->text() : "") + ": " + reason;
    result.refused = refused;
    finish(std::move(result));
}

void upstream_dial::finish(dial_result result) {
    const upstream_dialer::handler done = std::exchange(done_, {});
    cancel();
    done(std::move(result));
}

void upstream_dial::cancel() {
    done_ = {};
    timer_.cancel();
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
}

}  // namespace fuchsiaquay
