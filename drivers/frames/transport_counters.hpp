#pragma once

#include <cstdint>

namespace fuchsiaquay {

/// Totals of a peer transport since its start.
struct transport_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    /// Frames that were not authentic, replayed, malformed or addressed to another host.
    std::uint64_t frames_refused = 0;
    /// Frames dropped because a queue was full or their lifetime had passed.
    std::uint64_t frames_dropped = 0;
    std::uint64_t connections_opened = 0;
    /// Connections replaced because the peer sent no acknowledgement in time.
    std::uint64_t silent_connections = 0;
};

}  // namespace fuchsiaquay
