#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/fleet/upstream_entry.hpp"
#include "drivers/traffic/upstream_connection_pool.hpp"
#include "servers/relay/exchange_failure.hpp"

namespace fuchsiaquay {

class connection_end_evidence;
class control_loop;
class exchange_listener;
class upstream_dial;
class upstream_dialer;
struct dial_result;

/// One request to an upstream. Reads while it writes, because an upstream may respond before it has
/// read a long body; such a connection is not reused.
///
/// The end of an answer that ends with its connection needs a confirmation, since the kernel closes
/// the connections of a process that was killed in the same way, and a proxy those that it has
/// lost: the upstream takes another connection on the same way, and no other connections were lost
/// at that moment.
class beast_exchange : public std::enable_shared_from_this<beast_exchange> {
public:
    beast_exchange(control_loop& loop, upstream_dialer& dialer,
                   std::shared_ptr<upstream_connection_pool> pool,
                   std::shared_ptr<connection_end_evidence> evidence,
                   const upstream_entry& upstream, std::string head,
                   std::shared_ptr<const std::string> body, exchange_listener& listener);

    /// Sends the request on `idle`, or on a new connection when it has no socket.
    /// @param connect_timeout  time limit for a new connection
    void start(upstream_connection idle, duration connect_timeout);
    /// Closes the connection; the listener is not called any more.
    void cancel();
    bool reused_connection() const noexcept { return reused_; }

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void reset_parser();
    void connect();
    void on_connected(dial_result result);
    void use(upstream_connection connection);
    void write();
    void read();
    void on_read(std::size_t bytes);
    bool parse();
    bool deliver();
    void deliver_head();
    void on_read_error(const boost::system::error_code& error);
    void on_end_of_stream();
    /// Finds out whether the upstream still runs after an answer that ended with its connection.
    void confirm_end();
    void confirm_upstream_runs();
    void on_end_confirmed(const dial_result& result);
    void complete();
    bool answer_begun() const;
    /// Fails because the connection ended before the answer was complete.
    void report_lost_connection(const std::string& reason);
    /// Fails because of the answer.
    void reject(answer_fault fault, const std::string& reason);
    void fail(const exchange_failure& failure);
    void close();
    duration idle_lifetime() const;

    control_loop& loop_;
    upstream_dialer& dialer_;
    std::shared_ptr<upstream_connection_pool> pool_;
    std::shared_ptr<connection_end_evidence> evidence_;
    upstream_lifetime upstream_;
    network_address address_;
    duration connect_timeout_{};
    std::string head_;
    std::shared_ptr<const std::string> body_;
    /// Null once the exchange has ended.
    exchange_listener* listener_;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    /// Absent if the connection is direct.
    std::optional<leading_host> peer_;
    std::shared_ptr<upstream_dial> dial_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser_type> parser_;
    std::size_t parsed_bytes_ = 0;
    /// When the connection ended.
    instant ended_at_{};
    bool head_delivered_ = false;
    bool sent_ = false;
    bool written_ = false;
    /// Why the request was not written completely.
    boost::system::error_code write_error_;
    bool reused_ = false;
};

}  // namespace fuchsiaquay
