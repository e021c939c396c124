#include "drivers/traffic/output_monitor.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "drivers/net/socket_state.hpp"

namespace fuchsiaquay {

using boost::asio::ip::tcp;

namespace {

/// A peer that answers no packet for this time is taken as unreachable.
constexpr duration unreachable_limit = std::chrono::milliseconds(3'000);

}  // namespace

void output_monitor::restart(instant now) {
    progress_at_ = now;
    unanswered_since_ = instant::max();
}

output_monitor::finding output_monitor::check(tcp::socket& socket, std::size_t accepted_bytes,
                                              bool buffered, duration stall_limit, instant now) {
    const std::size_t on_the_way = unacknowledged_bytes(socket);
    if (on_the_way == 0 && !buffered) {
        return finding::delivered;
    }
    if (is_unreachable(socket, now)) {
        return finding::unreachable;
    }
    const std::size_t acknowledged = accepted_bytes - std::min(accepted_bytes, on_the_way);
    if (acknowledged != acknowledged_bytes_) {
        acknowledged_bytes_ = acknowledged;
        progress_at_ = now;
    }
    return now - progress_at_ > stall_limit ? finding::stalled : finding::sending;
}

bool output_monitor::is_unreachable(tcp::socket& socket, instant now) {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return false;
    }
    // Retransmissions of data, or probes of a closed window, that have had no reply.
    const bool unanswered = info.tcpi_retransmits > 0 || info.tcpi_probes > 0;
    const instant replied_at = now - std::chrono::milliseconds(info.tcpi_last_ack_recv);
    if (!unanswered || replied_at > unanswered_since_) {
        unanswered_since_ = unanswered ? now : instant::max();
        return false;
    }
    unanswered_since_ = std::min(unanswered_since_, now);
    return now - unanswered_since_ >= unreachable_limit;
}

}  // namespace fuchsiaquay
