#include "drivers/net/tunnel_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <random>
#include <string>
#include <utility>

#include "core/relay/connection_end_evidence.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/dial_result.hpp"
#include "drivers/net/socket_setup.hpp"
#include "drivers/net/tunnel.hpp"
#include "drivers/net/tunnel_process_field.hpp"
#include "drivers/net/upstream_dial.hpp"
#include "drivers/net/upstream_dialer.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int http_1_1 = 11;
constexpr std::uint32_t max_header_bytes = 1'024;
/// Tunnels at a time. Each one holds two buffers of 16 KB.
constexpr std::size_t max_tunnels = 256;
/// Time limit for the request of a tunnel and its connection to the upstream.
constexpr duration opening_timeout = std::chrono::milliseconds(1'000);
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

int status_of(const dial_result& result) {
    if (result.connection.socket) {
        return static_cast<int>(http::status::ok);
    }
    return static_cast<int>(result.refused ? http::status::bad_gateway
                                           : http::status::gateway_timeout);
}

std::string make_process_token() {
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

}  // namespace

class tunnel_server::listener : public std::enable_shared_from_this<listener> {
public:
    class opening;

    listener(control_loop& loop, upstream_dialer& dialer, const network_address& address,
             permission permit)
        : loop_(loop),
          dialer_(dialer),
          acceptor_(listen_at(loop.context(), address)),
          permit_(std::move(permit)),
          ticks_(loop.every(connection_end_evidence::tick_period,
                            [this] { evidence_->on_tick(loop_.now()); })) {
        evidence_->on_tick(loop_.now());
    }

    void accept();
    void close() {
        loop_.cancel(ticks_);
        error_code ignored;
        acceptor_.close(ignored);
    }

    control_loop& loop_;
    upstream_dialer& dialer_;
    tcp::acceptor acceptor_;
    permission permit_;
    const std::string process_ = make_process_token();
    std::shared_ptr<connection_end_evidence> evidence_ =
        std::make_shared<connection_end_evidence>();
    timer_service::subscription ticks_;
    /// Tunnels that are open or being opened.
    std::size_t tunnels_ = 0;
    std::uint64_t opened_ = 0;
};

/// The request of another host for a tunnel.
class tunnel_server::listener::opening : public std::enable_shared_from_this<opening> {
public:
    opening(std::shared_ptr<listener> owner, tcp::socket socket)
        : owner_(std::move(owner)),
          host_(std::make_shared<tcp::socket>(std::move(socket))),
          timer_(owner_->loop_.context(), opening_timeout),
          buffer_(max_header_bytes) {
        ++owner_->tunnels_;
    }
    opening(const opening&) = delete;
    opening& operator=(const opening&) = delete;
    ~opening() {
        if (!handed_over_) {
            --owner_->tunnels_;
        }
    }

    void start() {
        timer_.async_wait([weak = weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->give_up();
            }
        });
        parser_.header_limit(max_header_bytes);
        http::async_read_header(*host_, buffer_, parser_,
                                [self = shared_from_this()](const error_code& error, std::size_t) {
                                    if (!error) {
                                        self->on_request();
                                    }
                                });
    }

private:
    void on_request() {
        const auto& request = parser_.get();
        upstream_address_ = parse_network_address(std::string(request.target()));
        if (request.method() != http::verb::connect || upstream_address_.empty() ||
            buffer_.size() > 0) {
            answer(static_cast<int>(http::status::bad_request));
            return;
        }
        error_code ignored;
        const std::string from = host_->remote_endpoint(ignored).address().to_string();
        const int status = owner_->permit_(from, upstream_address_);
        if (status != static_cast<int>(http::status::ok)) {
            answer(status);
            return;
        }
        // The dial is direct, so that tunnels do not lead through several hosts.
        dial_ = owner_->dialer_.dial_directly(upstream_address_, opening_timeout,
                                              [weak = weak_from_this()](const dial_result& result) {
                                                  if (const auto self = weak.lock()) {
                                                      self->upstream_ = result.connection.socket;
                                                      self->answer(status_of(result));
                                                  }
                                              });
        wait_for_host();
    }

    /// Notices that the host has gone before the upstream is connected.
    void wait_for_host() {
        host_->async_wait(tcp::socket::wait_read,
                          [self = shared_from_this()](const error_code& error) {
                              if (!error && !self->answered_) {
                                  self->give_up();
                              }
                          });
    }

    void answer(int status) {
        answered_ = true;
        error_code ignored;
        host_->cancel(ignored);
        answer_.version(http_1_1);
        answer_.result(static_cast<unsigned>(status));
        if (upstream_) {
            answer_.set(tunnel_process_field, owner_->process_);
        }
        http::async_write(*host_, answer_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (!error && self->upstream_) {
                                  self->hand_over();
                              }
                          });
    }

    void hand_over() {
        timer_.cancel();
        handed_over_ = true;
        ++owner_->opened_;
        std::make_shared<tunnel>(owner_->loop_, owner_->evidence_, host_, upstream_,
                                 [owner = owner_] { --owner->tunnels_; })
            ->start();
    }

    void give_up() {
        if (handed_over_) {
            return;
        }
        if (dial_) {
            dial_->cancel();
        }
        error_code ignored;
        host_->close(ignored);
    }

    std::shared_ptr<listener> owner_;
    tunnel::socket_ptr host_;
    tunnel::socket_ptr upstream_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    http::request_parser<http::empty_body> parser_;
    http::response<http::empty_body> answer_;
    network_address upstream_address_;
    std::shared_ptr<upstream_dial> dial_;
    bool answered_ = false;
    bool handed_over_ = false;
};

void tunnel_server::listener::accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
            if (!self->acceptor_.is_open()) {
                return;
            }
            if (error) {
                self->loop_.after(accept_retry_delay, [self] { self->accept(); });
                return;
            }
            set_up_traffic_socket(socket);
            if (self->tunnels_ < max_tunnels) {
                std::make_shared<opening>(self, std::move(socket))->start();
            }
            self->accept();
        });
}

tunnel_server::tunnel_server(control_loop& loop, upstream_dialer& dialer,
                             const network_address& address, permission permit)
    : listener_(std::make_shared<listener>(loop, dialer, address, std::move(permit))) {
    listener_->accept();
}

tunnel_server::~tunnel_server() {
    listener_->close();
}

std::size_t tunnel_server::open_tunnels() const {
    return listener_->tunnels_;
}

std::uint64_t tunnel_server::opened() const {
    return listener_->opened_;
}

}  // namespace fuchsiaquay
