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

/// The frames on their way to one peer address, over whichever connection is current. Keeps each
/// frame until the peer acknowledges it, so that a replaced connection loses none; the receiver
/// drops what it gets twice. Opens no connection itself: `needs_connection` asks for one.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    using connection_ptr = std::shared_ptr<frame_connection>;

    peer_link(const transport_settings& settings, transport_counters& counters,
              const timer_service& timers);

    /// Queues an encoded frame; drops the oldest ones when the queue is full.
    void push(std::uint64_t sequence, std::string bytes);
    /// Writes what waits, if the connection is free.
    void flush();
    /// Forgets frames up to `sequence`.
    void acknowledged(std::uint64_t sequence);
    /// Makes `connection` current; unacknowledged frames are due on it again. Flush afterwards.
    void set_connection(connection_ptr connection);
    /// True while a frame waits that was written before and may have arrived.
    bool has_retransmissions() const;
    /// The current connection ended or could not be opened.
    void connection_lost();
    /// Drops old frames and a silent or overdue connection. True if the connection was silent.
    bool check_timeouts();
    /// This process was paused: acknowledgements may lie unread, so silence counts from now.
    void restart_timeouts();
    bool needs_connection() const;
    /// Records a dial under way.
    void dial_started(connection_ptr connection);
    const connection_ptr& current() const noexcept { return connection_; }
    bool idle() const noexcept { return queue_.empty() && !connection_; }

    /// Highest sequence of the peer that is still to be acknowledged to it; 0 for none.
    std::uint64_t pending_acknowledgement = 0;

private:
    struct entry {
        std::uint64_t sequence = 0;
        std::string bytes;
        instant queued_at{};
        instant written_at{};
        bool written = false;
        bool repeated = false;
    };

    void drop_front();
    void back_off();
    duration silence_limit() const;

    const transport_settings& settings_;
    transport_counters& counters_;
    const timer_service& timers_;
    std::deque<entry> queue_;
    std::size_t queued_bytes_ = 0;
    connection_ptr connection_;
    instant dialed_at_{};
    instant next_dial_{};
    int failures_ = 0;
};

}  // namespace fuchsiaquay
