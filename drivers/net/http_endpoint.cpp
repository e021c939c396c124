#include "drivers/net/http_endpoint.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_setup.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t max_header_bytes = 8'192;
constexpr std::uint64_t max_body_bytes = 4'096;
constexpr duration accept_retry_delay = std::chrono::milliseconds(50);
constexpr int hex_base = 16;

}  // namespace

class http_endpoint::session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<const handler> request_handler)
        : socket_(std::move(socket)), handler_(std::move(request_handler)) {}

    void read() {
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        parser_->body_limit(max_body_bytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](const error_code& error, std::size_t) {
                             if (!error) {
                                 self->write();
                             }
                         });
    }

private:
    void write() {
        const auto& request = parser_->get();
        reply response;
        if (request.method() == http::verb::get) {
            response = (*handler_)(std::string(request.target()));
        } else {
            response.status = static_cast<int>(http::status::method_not_allowed);
        }
        response_ = {};
        response_.version(request.version());
        response_.result(static_cast<unsigned>(response.status));
        response_.set(http::field::content_type, response.content_type);
        response_.keep_alive(request.keep_alive());
        response_.body() = std::move(response.body);
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (!error && self->response_.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    tcp::socket socket_;
    std::shared_ptr<const handler> handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

class http_endpoint::listener : public std::enable_shared_from_this<listener> {
public:
    listener(control_loop& loop, const network_address& address, handler request_handler)
        : loop_(loop),
          acceptor_(listen_at(loop.context(), address)),
          handler_(std::make_shared<const handler>(std::move(request_handler))) {}

    void accept() {
        acceptor_.async_accept(
            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                if (!self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    self->loop_.after(accept_retry_delay, [self] { self->accept(); });
                    return;
                }
                set_up_socket(socket);
                std::make_shared<session>(std::move(socket), self->handler_)->read();
                self->accept();
            });
    }

    void close() {
        error_code ignored;
        acceptor_.close(ignored);
    }

private:
    control_loop& loop_;
    tcp::acceptor acceptor_;
    std::shared_ptr<const handler> handler_;
};

http_endpoint::http_endpoint(control_loop& loop, const network_address& address,
                             handler request_handler)
    : listener_(std::make_shared<listener>(loop, address, std::move(request_handler))) {
    listener_->accept();
}

http_endpoint::~http_endpoint() {
    listener_->close();
}

std::string query_value(const std::string& target, const std::string& name) {
    std::size_t separator = target.find('?');
    while (separator != std::string::npos) {
        const std::size_t begin = separator + 1;
        separator = target.find('&', begin);
        const std::string pair =
            target.substr(begin, separator == std::string::npos ? separator : separator - begin);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || pair.substr(0, equals) != name) {
            continue;
        }
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(
                    std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, hex_base));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        return value;
    }
    return "";
}

}  // namespace fuchsiaquay
