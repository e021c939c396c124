#include "drivers/frames/asio_peer_transport.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "drivers/frames/frame_error.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {
namespace {

using boost::system::error_code;

/// The process counts as paused if the time between two sweeps exceeds this many periods.
constexpr int paused_after_periods = 3;

std::string link_key(const std::string& address, std::uint16_t port) {
    return address + ":" + std::to_string(port);
}

}  // namespace

asio_peer_transport::asio_peer_transport(boost::asio::io_context& context, timer_service& timers,
                                         decision_log& log, transport_settings settings)
    : context_(context),
      timers_(timers),
      log_(log),
      settings_(std::move(settings)),
      codec_(settings_.keys),
      acceptor_(context) {
    listen();
    accept_next();
    sweep_timer_ = timers_.every(settings_.sweep_period, [this] { sweep(); });
}

asio_peer_transport::~asio_peer_transport() {
    alive_.reset();
    timers_.cancel(sweep_timer_);
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [connection, key] : connections_) {
        connection->close();
    }
}

void asio_peer_transport::listen() {
    const std::string endpoint_text = link_key(settings_.address, settings_.port);
    try {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(settings_.address),
                                     settings_.port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        settings_.port = acceptor_.local_endpoint().port();
    } catch (const boost::system::system_error& error) {
        throw frame_error("listen for peers", endpoint_text, error.what());
    }
}

void asio_peer_transport::accept_next() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr<int>(alive_)](const error_code& error, tcp::socket socket) {
            if (alive.expired()) {
                return;
            }
            if (!error) {
                on_accept(std::move(socket));
            }
            accept_next();
        });
}

void asio_peer_transport::on_accept(tcp::socket socket) {
    const auto unauthenticated =
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& entry) { return entry.second.empty(); });
    if (static_cast<std::size_t>(unauthenticated) >= settings_.max_unauthenticated_connections) {
        return;
    }
    auto connection = std::make_shared<frame_connection>(std::move(socket));
    connection->last_used = timers_.now();
    attach(connection);
    connections_.emplace(connection, std::string());
    connection->start();
}

void asio_peer_transport::attach(const connection_ptr& connection) {
    connection->set_handlers(
        [this](const connection_ptr& from, std::string_view payload) { on_payload(from, payload); },
        [this](const connection_ptr& from) { on_connection_end(from); });
}

void asio_peer_transport::send(const member_update& to, const peer_message& message) {
    const std::string key = link_key(to.address, to.peer_port);
    peer_frame frame = make_frame(to.host);
    frame.sequence = ++last_sequence_;
    frame.message = message;
    std::string bytes;
    try {
        bytes = codec_.encode(frame);
    } catch (const frame_error& error) {
        ++counters_.frames_dropped;
        log_.write(decision_log::level::error, "frame_not_sent",
                   {{"peer", key}, {"error", error.what()}});
        return;
    }
    if (!to.host.empty()) {
        hosts_[key] = to.host;
    }
    peer_link& link = link_at(key);
    link.push(frame.sequence, std::move(bytes));
    if (link.needs_connection()) {
        dial(key, link);
    }
}

void asio_peer_transport::on_message(handler receive) {
    receive_ = std::move(receive);
}

void asio_peer_transport::replace_keys(cluster_keys keys) {
    codec_ = frame_codec(std::move(keys));
}

peer_frame asio_peer_transport::make_frame(const host_id& receiver) const {
    peer_frame frame;
    frame.sender = settings_.self;
    frame.receiver = receiver;
    frame.peer_port = settings_.advertised_port != 0 ? settings_.advertised_port : settings_.port;
    frame.incarnation = settings_.incarnation;
    const auto window = windows_.find(receiver);
    frame.acknowledged = window == windows_.end() ? 0 : window->second.highest();
    return frame;
}

peer_link& asio_peer_transport::link_at(const std::string& key) {
    std::shared_ptr<peer_link>& link = links_[key];
    if (!link) {
        link = std::make_shared<peer_link>(settings_, counters_, timers_);
    }
    return *link;
}

void asio_peer_transport::dial(const std::string& key, peer_link& link) {
    const std::size_t colon = key.rfind(':');
    error_code error;
    const auto address = boost::asio::ip::make_address(key.substr(0, colon), error);
    if (error) {
        link.connection_lost();
        return;
    }
    const tcp::endpoint endpoint(address,
                                 static_cast<std::uint16_t>(std::stoul(key.substr(colon + 1))));
    auto connection = std::make_shared<frame_connection>(tcp::socket(context_));
    attach(connection);
    connections_.emplace(connection, key);
    link.dial_started(connection);
    connection->connect(endpoint, [this, key](const connection_ptr& done) {
        ++counters_.connections_opened;
        peer_link& ready = link_at(key);
        if (ready.current() == done) {
            start_dialed(done, key, ready);
        }
    });
}

void asio_peer_transport::start_dialed(const connection_ptr& connection, const std::string& key,
                                       peer_link& link) {
    link.set_connection(connection);
    if (link.has_retransmissions()) {
        // The peer may drop every queued frame as a replay and then would not use this connection.
        // A frame with a new sequence makes the peer use it.
        peer_frame frame = make_frame(hosts_[key]);
        frame.sequence = ++last_sequence_;
        link.push(frame.sequence, codec_.encode(frame));
    }
    link.flush();
}

bool asio_peer_transport::addressed_here(const peer_frame& frame) const {
    if (frame.sender == settings_.self) {
        return false;
    }
    if (!frame.receiver.empty()) {
        return frame.receiver == settings_.self;
    }
    const auto* gossip = frame.message ? std::get_if<gossip_message>(&*frame.message) : nullptr;
    return gossip != nullptr && gossip->kind == gossip_kind::join;
}

void asio_peer_transport::refuse(const connection_ptr& connection, const std::string& reason) {
    ++counters_.frames_refused;
    log_.write(decision_log::level::warning, "frame_refused",
               {{"peer", connection->remote_address()}, {"reason", reason}});
}

void asio_peer_transport::on_payload(const connection_ptr& connection, std::string_view payload) {
    counters_.bytes_received += payload.size() + frame_codec::length_bytes;
    ++counters_.frames_received;
    const std::optional<peer_frame> frame = codec_.decode(payload);
    if (!frame) {
        refuse(connection, "not authentic");
        connection->close();
        on_connection_end(connection);
        return;
    }
    if (!addressed_here(*frame)) {
        refuse(connection, "meant for another host");
        return;
    }
    receive_window& window = windows_[frame->sender];
    if (!window.accept(frame->incarnation, frame->sequence)) {
        refuse(connection, "replayed");
        // The peer repeats a frame if its acknowledgement was lost, so acknowledge it again.
        const auto known = connections_.find(connection);
        if (known != connections_.end() && !known->second.empty()) {
            link_at(known->second).pending_acknowledgement = window.highest();
        }
        return;
    }
    connection->last_used = timers_.now();
    register_peer(connection, *frame);
    if (frame->message && receive_) {
        receive_(frame->sender, *frame->message);
    }
}

void asio_peer_transport::register_peer(const connection_ptr& connection, const peer_frame& frame) {
    std::string& key = connections_[connection];
    const bool first = key.empty();
    if (first) {
        key = link_key(connection->remote_address(), frame.peer_port);
    }
    peer_link& link = link_at(key);
    hosts_[key] = frame.sender;
    // A peer opens a new connection if its old one is silent, so the newest connection is used.
    if (first) {
        link.set_connection(connection);
    }
    link.acknowledged(frame.acknowledged);
    link.flush();
    if (frame.sequence != 0) {
        link.pending_acknowledgement = windows_[frame.sender].highest();
    }
}

void asio_peer_transport::on_connection_end(const connection_ptr& connection) {
    const auto entry = connections_.find(connection);
    if (entry == connections_.end()) {
        return;
    }
    const auto link = links_.find(entry->second);
    if (link != links_.end() && link->second->current() == connection) {
        link->second->connection_lost();
        windows_[hosts_[entry->second]].compact();
    }
    connections_.erase(entry);
}

void asio_peer_transport::send_acknowledgement(peer_link& link) {
    const auto connection = connections_.find(link.current());
    if (connection == connections_.end() || !link.current()->writable()) {
        return;
    }
    std::string bytes = codec_.encode(make_frame(hosts_[connection->second]));
    link.pending_acknowledgement = 0;
    ++counters_.frames_sent;
    counters_.bytes_sent += bytes.size();
    link.current()->write(std::move(bytes), [this, key = connection->second](
                                                const connection_ptr&) { link_at(key).flush(); });
}

void asio_peer_transport::sweep_link(const std::string& key, peer_link& link) {
    if (link.check_timeouts()) {
        log_.write(decision_log::level::warning, "silent_connection",
                   {{"peer", key}, {"host", hosts_[key].value()}});
    }
    if (link.needs_connection()) {
        dial(key, link);
        return;
    }
    link.flush();
    if (link.pending_acknowledgement != 0 && link.current()) {
        send_acknowledgement(link);
    }
}

void asio_peer_transport::sweep() {
    const instant now = timers_.now();
    const bool paused = now - last_sweep_ > settings_.sweep_period * paused_after_periods;
    last_sweep_ = now;
    for (auto it = links_.begin(); it != links_.end();) {
        if (paused) {
            it->second->restart_timeouts();
        }
        sweep_link(it->first, *it->second);
        it = it->second->idle() ? links_.erase(it) : std::next(it);
    }
    std::vector<connection_ptr> expired;
    for (const auto& [connection, key] : connections_) {
        const duration limit =
            key.empty() ? settings_.authentication_timeout : settings_.idle_timeout;
        if (!connection->open() || now - connection->last_used >= limit) {
            expired.push_back(connection);
        }
    }
    for (const connection_ptr& connection : expired) {
        connection->close();
        on_connection_end(connection);
    }
}

}  // namespace fuchsiaquay
