#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fuchsiaquay {

/// One call of a plain service, on a connection of its own and on threads of the HTTP library. That
/// library's own client takes answers whose fields are malformed. An answer that ends with its
/// connection is complete only if the service takes another one afterwards, since the kernel closes
/// the connections of a process that was killed in the same way.
class service_call : public std::enable_shared_from_this<service_call> {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    struct result {
        /// Empty when an answer arrived; otherwise `connect` (nothing was sent), `invalid_status`,
        /// `malformed_answer` or `broken`.
        std::string failure;
        int status = 0;
        std::string content_type;
        std::string body;
    };
    using handler = std::function<void(const result&)>;

    /// @param done  called once on a thread of the HTTP library, unless the call is cancelled
    service_call(const std::string& address, std::uint16_t port, request message, handler done);

    void start();
    /// Closes the connection. Thread-safe.
    void cancel();

private:
    void resolve();
    void connect(const boost::asio::ip::tcp::resolver::results_type& endpoints);
    void write();
    void read();
    void on_read();
    void confirm_end();
    void succeed();
    void fail(const char* failure);
    void finish(const result& outcome);

    std::string address_;
    std::uint16_t port_;
    request message_;
    /// Null once the call has ended or was cancelled. What it refers to may own the call.
    handler done_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::ip::tcp::resolver resolver_;
    boost::asio::ip::tcp::socket socket_;
    /// The service that answers, of those that the address names.
    boost::asio::ip::tcp::endpoint service_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace fuchsiaquay
