#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Watches whether the peer of a connection receives what is sent to it. TCP_USER_TIMEOUT cannot do
/// this: it also ends a connection whose peer acknowledges every probe but has no room for data.
class output_monitor {
public:
    enum class finding {
        /// Everything was acknowledged.
        delivered,
        /// Data is on the way.
        sending,
        /// The peer's host answers, but took no data for `stall_limit`.
        stalled,
        /// The peer's host does not answer.
        unreachable,
    };

    /// Must be called when data is sent after everything was delivered.
    void restart(instant now);
    /// Checks the connection. Must be called periodically while data may be on the way.
    /// @param accepted_bytes  bytes that the kernel has accepted on this connection so far
    /// @param buffered  whether more bytes wait to be accepted
    finding check(boost::asio::ip::tcp::socket& socket, std::size_t accepted_bytes, bool buffered,
                  duration stall_limit, instant now);

private:
    bool is_unreachable(boost::asio::ip::tcp::socket& socket, instant now);

    std::size_t acknowledged_bytes_ = 0;
    /// When the peer last took data, or had none to take.
    instant progress_at_{};
    /// Since when sent packets have had no reply; `instant::max()` if they have.
    instant unanswered_since_ = instant::max();
};

}  // namespace fuchsiaquay
