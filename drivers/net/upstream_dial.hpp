#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/net/upstream_dialer.hpp"

namespace fuchsiaquay {

/// One connection to an upstream that is being opened.
class upstream_dial : public std::enable_shared_from_this<upstream_dial> {
public:
    upstream_dial(upstream_dialer& owner, network_address upstream, upstream_dialer::handler done);

    /// @param direct  do not use tunnels
    void start(duration timeout, bool direct);
    /// Opens the connection through the tunnel of one process of a host or not at all.
    void start_through(const leading_host& peer, duration timeout);
    /// Ends the dial; the handler is not called any more.
    void cancel();

private:
    using empty_body = boost::beast::http::empty_body;

    void start_timer(duration timeout);
    /// Whether the handler has been called or must not be any more.
    bool ended() const;
    /// False if this host reaches the upstreams itself, or other hosts were asked before.
    bool start_with_peers();
    void connect_directly();
    void on_direct_result(const boost::system::error_code& error);
    void try_next_peer();
    void ask_for_tunnel();
    void read_answer();
    void on_answer(int status);
    /// Does not ask this host for a while, and tries the next one.
    void leave_out_peer();
    void on_timeout();
    void succeed();
    void fail(const std::string& reason, bool refused);
    void finish(dial_result result);

    upstream_dialer& owner_;
    std::weak_ptr<int> owner_alive_;
    network_address upstream_;
    /// Empty once the dial has ended.
    upstream_dialer::handler done_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    std::vector<network_address> peers_;
    /// Whether other hosts may be asked for a tunnel; they are asked once.
    bool may_use_peers_ = true;
    bool may_connect_directly_ = true;
    /// The host whose tunnel is being tried.
    std::optional<network_address> peer_;
    /// The only process whose tunnel may be used; absent if any may.
    std::optional<std::string> required_process_;
    /// The process that opened the tunnel.
    std::string process_;
    boost::beast::http::request<empty_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<empty_body>> answer_;
};

}  // namespace fuchsiaquay
