#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "drivers/frames/frame_codec.hpp"
#include "drivers/frames/frame_connection.hpp"
#include "drivers/frames/peer_link.hpp"
#include "drivers/frames/receive_window.hpp"
#include "drivers/frames/transport_counters.hpp"
#include "drivers/frames/transport_settings.hpp"
#include "servers/peer_transport.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class decision_log;

/// Exchanges frames with peers over TCP, one connection for each peer. Runs on the control thread.
/// Each frame acknowledges the frames received from the peer. If a frame is not acknowledged in
/// time, the connection counts as silent: a new one to the same address replaces it and the frame
/// is sent again. Messages are delivered at most once.
class asio_peer_transport final : public peer_transport {
public:
    /// Starts listening.
    /// @param context  event loop of the control thread; must outlive the transport
    /// @throws frame_error if listening at the address fails or the key is empty
    asio_peer_transport(boost::asio::io_context& context, timer_service& timers, decision_log& log,
                        transport_settings settings);
    asio_peer_transport(const asio_peer_transport&) = delete;
    asio_peer_transport& operator=(const asio_peer_transport&) = delete;
    ~asio_peer_transport() override;

    void send(const member_update& to, const peer_message& message) override;
    void on_message(handler receive) override;

    /// Port of the listener.
    std::uint16_t port() const noexcept { return settings_.port; }
    const transport_counters& counters() const noexcept { return counters_; }
    /// Replaces the cluster keys during a key rotation; applies to all later frames.
    void replace_keys(cluster_keys keys);

private:
    using tcp = boost::asio::ip::tcp;
    using connection_ptr = std::shared_ptr<frame_connection>;

    void listen();
    void accept_next();
    void on_accept(tcp::socket socket);
    void attach(const connection_ptr& connection);
    void on_payload(const connection_ptr& connection, std::string_view payload);
    void refuse(const connection_ptr& connection, const std::string& reason);
    bool addressed_here(const peer_frame& frame) const;
    void register_peer(const connection_ptr& connection, const peer_frame& frame);
    void on_connection_end(const connection_ptr& connection);
    void dial(const std::string& key, peer_link& link);
    void start_dialed(const connection_ptr& connection, const std::string& key, peer_link& link);
    void sweep();
    void sweep_link(const std::string& key, peer_link& link);
    void send_acknowledgement(peer_link& link);
    peer_frame make_frame(const host_id& receiver) const;
    peer_link& link_at(const std::string& key);

    boost::asio::io_context& context_;
    timer_service& timers_;
    decision_log& log_;
    transport_settings settings_;
    frame_codec codec_;
    tcp::acceptor acceptor_;
    handler receive_;
    transport_counters counters_;
    /// Keyed by "address:port" of the peer's frame listener.
    std::map<std::string, std::shared_ptr<peer_link>> links_;
    /// Open connections and their keys in `links_`; the key is empty until the first authentic
    /// frame.
    std::map<connection_ptr, std::string> connections_;
    std::map<std::string, host_id> hosts_;
    std::map<host_id, receive_window> windows_;
    std::uint64_t last_sequence_ = 0;
    timer_service::subscription sweep_timer_ = 0;
    instant last_sweep_{};
    /// Expires with the transport. Handlers of the acceptor check it, as they may run later.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
