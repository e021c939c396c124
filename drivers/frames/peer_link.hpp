#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "core/time/clock.hpp"
#include "drivers/frames/frame_connection.hpp"
#include "drivers/frames/transport_counters.hpp"
#include "drivers/frames/transport_settings.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

/// Queue of frames for one peer address, sent over the current connection. Keeps each frame until
/// the peer acknowledges it, so that none is lost when the connection is replaced; the receiver
/// drops duplicates. Does not open connections: the owner does when `needs_connection` is true.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    using connection_ptr = std::shared_ptr<frame_connection>;

    peer_link(const transport_settings& settings, transport_counters& counters,
              const timer_service& timers);

    /// Queues an encoded frame; drops the oldest frames if the queue is full.
    void push(std::uint64_t sequence, std::string bytes);
    /// Writes queued frames if the connection is writable.
    void flush();
    /// Removes the frames up to `sequence` from the queue.
    void acknowledged(std::uint64_t sequence);
    /// Makes `connection` current and queues unacknowledged frames to be sent again. Call `flush`
    /// afterwards.
    void set_connection(connection_ptr connection);
    /// True while the queue holds a frame that was written before and may have arrived.
    bool has_retransmissions() const;
    /// To be called when the current connection ended or could not be opened.
    void connection_lost();
    /// Drops expired frames, and the connection if it is silent, idle or was not opened in time.
    /// @return true if the connection was silent
    bool check_timeouts();
    /// Restarts the timeouts after a pause of this process, as acknowledgements may have arrived
    /// that are not read yet.
    void restart_timeouts();
    bool needs_connection() const;
    /// Sets `connection`, which is being opened, as the current one.
    void dial_started(connection_ptr connection);
    const connection_ptr& current() const noexcept { return connection_; }
    bool idle() const noexcept { return queue_.empty() && !connection_; }

    /// Highest sequence received from the peer and not acknowledged yet; 0 for none.
    std::uint64_t pending_acknowledgement = 0;

private:
    struct queued_frame {
        std::uint64_t sequence = 0;
        std::string bytes;
        instant queued_at{};
        instant written_at{};
        bool written = false;
        bool retransmission = false;
    };

    void drop_front();
    void back_off();
    duration silence_limit() const;

    const transport_settings& settings_;
    transport_counters& counters_;
    const timer_service& timers_;
    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_ = 0;
    connection_ptr connection_;
    instant dialed_at_{};
    instant next_dial_{};
    int failures_ = 0;
};

}  // namespace fuchsiaquay
