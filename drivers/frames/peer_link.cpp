#include "drivers/frames/peer_link.hpp"

#include <algorithm>
#include <utility>

#include "drivers/frames/frame_codec.hpp"

namespace fuchsiaquay {
namespace {

constexpr int max_doublings = 10;

duration doubled(duration base, int times, duration limit) {
    return std::min(limit, base * (1 << std::min(times, max_doublings)));
}

}  // namespace

peer_link::peer_link(const transport_settings& settings, transport_counters& counters,
                     const timer_service& timers)
    : settings_(settings), counters_(counters), timers_(timers) {}

void peer_link::push(std::uint64_t sequence, std::string bytes) {
    queued_bytes_ += bytes.size();
    queue_.push_back(
        queued_frame{sequence, std::move(bytes), timers_.now(), instant(), false, false});
    while (queue_.size() > settings_.max_queued_frames ||
           (queued_bytes_ > settings_.max_queued_bytes && queue_.size() > 1)) {
        drop_front();
        ++counters_.frames_dropped;
    }
    flush();
}

void peer_link::flush() {
    if (!connection_ || !connection_->writable()) {
        return;
    }
    const instant now = timers_.now();
    std::string batch;
    for (queued_frame& frame : queue_) {
        if (frame.written) {
            continue;
        }
        if (!batch.empty() && batch.size() + frame.bytes.size() > frame_codec::max_payload_bytes) {
            break;
        }
        batch += frame.bytes;
        frame.written = true;
        frame.written_at = now;
        ++counters_.frames_sent;
    }
    if (batch.empty()) {
        return;
    }
    pending_acknowledgement = 0;
    counters_.bytes_sent += batch.size();
    connection_->last_used = now;
    connection_->write(std::move(batch), [link = weak_from_this()](const connection_ptr& done) {
        const std::shared_ptr<peer_link> self = link.lock();
        if (self && done == self->connection_) {
            self->flush();
        }
    });
}

void peer_link::acknowledged(std::uint64_t sequence) {
    while (!queue_.empty() && queue_.front().sequence <= sequence) {
        drop_front();
    }
    failures_ = 0;
}

void peer_link::set_connection(connection_ptr connection) {
    connection_ = std::move(connection);
    for (queued_frame& frame : queue_) {
        frame.retransmission = frame.retransmission || frame.written;
        frame.written = false;
    }
}

bool peer_link::has_retransmissions() const {
    return std::any_of(queue_.begin(), queue_.end(),
                       [](const queued_frame& frame) { return frame.retransmission; });
}

void peer_link::restart_timeouts() {
    const instant now = timers_.now();
    for (queued_frame& frame : queue_) {
        frame.written_at = now;
    }
    dialed_at_ = now;
}

void peer_link::connection_lost() {
    connection_.reset();
    back_off();
}

void peer_link::back_off() {
    next_dial_ =
        timers_.now() + doubled(settings_.redial_delay, failures_, settings_.max_silence_timeout);
    failures_ = std::min(failures_ + 1, max_doublings);
}

duration peer_link::silence_limit() const {
    return doubled(settings_.silence_timeout, failures_, settings_.max_silence_timeout);
}

bool peer_link::check_timeouts() {
    const instant now = timers_.now();
    while (!queue_.empty() && now - queue_.front().queued_at > settings_.frame_lifetime) {
        drop_front();
        ++counters_.frames_dropped;
    }
    if (!connection_) {
        return false;
    }
    if (!connection_->connected()) {
        if (now - dialed_at_ >= settings_.connect_timeout) {
            connection_->close();
            connection_lost();
        }
        return false;
    }
    const bool silent = !queue_.empty() && queue_.front().written &&
                        now - queue_.front().written_at >= silence_limit();
    if (silent) {
        connection_->close();
        connection_.reset();
        // The first replacement is opened without delay: the peer's address probably still works.
        next_dial_ = now;
        failures_ = std::min(failures_ + 1, max_doublings);
        ++counters_.silent_connections;
        return true;
    }
    if (queue_.empty() && now - connection_->last_used >= settings_.idle_timeout) {
        connection_->close();
        connection_.reset();
    }
    return false;
}

bool peer_link::needs_connection() const {
    return !connection_ && !queue_.empty() && timers_.now() >= next_dial_;
}

void peer_link::dial_started(connection_ptr connection) {
    connection_ = std::move(connection);
    dialed_at_ = timers_.now();
    connection_->last_used = dialed_at_;
}

void peer_link::drop_front() {
    queued_bytes_ -= queue_.front().bytes.size();
    queue_.pop_front();
}

}  // namespace fuchsiaquay
