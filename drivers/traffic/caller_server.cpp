#include "drivers/traffic/caller_server.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_setup.hpp"
#include "drivers/traffic/caller_session.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr duration accept_retry_delay = std::chrono::milliseconds(20);
/// Time at the end of the process for callers to receive the last bytes of their answers.
constexpr duration final_delivery_time = std::chrono::milliseconds(200);
constexpr duration final_delivery_check_period = std::chrono::milliseconds(5);
constexpr duration full_note_period = std::chrono::seconds(10);
/// Period of the check for idle and slow connections.
constexpr duration timeout_check_period = std::chrono::milliseconds(500);

}  // namespace

class caller_server::listener : public std::enable_shared_from_this<listener> {
public:
    listener(const caller_services& services, const network_address& address)
        : services_(services), acceptor_(listen_at(services.loop.context(), address)) {}

    void start() {
        accept();
        timer_ = services_.loop.every(timeout_check_period, [this] { check_timeouts(); });
    }

    void stop() {
        services_.loop.cancel(timer_);
        error_code ignored;
        acceptor_.close(ignored);
        wait_for_delivery();
        for (const auto& session : std::vector<session_ptr>(sessions_.begin(), sessions_.end())) {
            session->close(cut_cause::host_ended);
        }
    }

    void close_idle() {
        for (const auto& session : std::vector<session_ptr>(sessions_.begin(), sessions_.end())) {
            session->close_if_idle();
        }
    }

    std::size_t connections() const { return sessions_.size(); }
    std::uint64_t refused_connections() const noexcept { return refused_; }

    std::size_t active_requests() const {
        return static_cast<std::size_t>(
            std::count_if(sessions_.begin(), sessions_.end(),
                          [](const session_ptr& session) { return session->busy(); }));
    }

private:
    using session_ptr = std::shared_ptr<caller_session>;

    void accept() {
        acceptor_.async_accept(
            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                if (!self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    // Usually the process is temporarily out of file descriptors.
                    self->services_.loop.after(accept_retry_delay, [self] { self->accept(); });
                    return;
                }
                self->accept();
                if (self->make_room()) {
                    self->start_session(std::move(socket));
                }
            });
    }

    /// Closes an idle connection if there are as many as allowed: of those that never carried a
    /// request, otherwise of all, the one that has been idle for the longest time. Returns false
    /// if none is idle.
    bool make_room() {
        const std::size_t limit = services_.limits().connections;
        if (sessions_.size() < limit) {
            return true;
        }
        session_ptr oldest;
        for (const session_ptr& session : sessions_) {
            if (session->idle() && (!oldest || closes_before(*session, *oldest))) {
                oldest = session;
            }
        }
        ++refused_;
        note_full(limit);
        if (oldest) {
            oldest->close(cut_cause::host_ended);
        }
        return sessions_.size() < limit;
    }

    static bool closes_before(const caller_session& a, const caller_session& b) {
        return std::make_tuple(a.used(), a.idle_since()) <
               std::make_tuple(b.used(), b.idle_since());
    }

    void note_full(std::size_t limit) {
        const instant now = services_.loop.now();
        if (full_noted_at_ && now - *full_noted_at_ < full_note_period) {
            return;
        }
        full_noted_at_ = now;
        services_.log.write(decision_log::level::warning, "connections_exhausted",
                            {{"open", std::to_string(sessions_.size())},
                             {"limit", std::to_string(limit)},
                             {"closed_total", std::to_string(refused_)}});
    }

    void start_session(tcp::socket socket) {
        auto session = std::make_shared<caller_session>(
            services_, std::move(socket), [weak = weak_from_this()](const session_ptr& ended) {
                if (const auto self = weak.lock()) {
                    self->sessions_.erase(ended);
                }
            });
        sessions_.insert(session);
        session->start();
    }

    /// Waits until callers have received the answers that the kernel holds. The loop has stopped.
    void wait_for_delivery() {
        const instant end = services_.loop.now() + final_delivery_time;
        const auto delivering = [](const session_ptr& session) { return session->delivering(); };
        while (std::any_of(sessions_.begin(), sessions_.end(), delivering) &&
               services_.loop.now() < end) {
            std::this_thread::sleep_for(final_delivery_check_period);
        }
    }

    void check_timeouts() {
        const instant now = services_.loop.now();
        for (const auto& session : std::vector<session_ptr>(sessions_.begin(), sessions_.end())) {
            session->check_timeouts(now);
        }
    }

    caller_services services_;
    tcp::acceptor acceptor_;
    std::set<session_ptr> sessions_;
    std::uint64_t refused_ = 0;
    std::optional<instant> full_noted_at_;
    timer_service::subscription timer_ = 0;
};

caller_server::caller_server(const caller_services& services, const network_address& address)
    : listener_(std::make_shared<listener>(services, address)) {
    listener_->start();
}

caller_server::~caller_server() {
    listener_->stop();
}

void caller_server::close_idle() {
    listener_->close_idle();
}

std::size_t caller_server::connections() const {
    return listener_->connections();
}

std::uint64_t caller_server::refused_connections() const {
    return listener_->refused_connections();
}

std::size_t caller_server::active_requests() const {
    return listener_->active_requests();
}

}  // namespace fuchsiaquay
