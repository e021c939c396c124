#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"
#include "drivers/frames/cluster_keys.hpp"

namespace fuchsiaquay {

/// How a node talks to its peers.
struct transport_settings {
    host_id self;
    /// IP number to listen at.
    std::string address;
    /// 0 takes a free port; see `asio_peer_transport::port`.
    std::uint16_t port = 0;
    /// Port that peers are told to dial, for a host behind an address translation; 0 is `port`.
    std::uint16_t advertised_port = 0;
    /// Start of this process; must exceed that of any earlier process of the host.
    std::uint64_t incarnation = 0;
    cluster_keys keys;

    duration connect_timeout = std::chrono::milliseconds(500);
    /// A written frame that stays unacknowledged this long makes the connection silent. Doubles
    /// with each silent connection in a row up to `max_silence_timeout`.
    duration silence_timeout = std::chrono::milliseconds(600);
    duration max_silence_timeout = std::chrono::seconds(10);
    /// Pause after a failed dial; doubles up to `max_silence_timeout`.
    duration redial_delay = std::chrono::milliseconds(100);
    /// Frames older than this are given up.
    duration frame_lifetime = std::chrono::seconds(5);
    /// Connections without traffic are closed after this.
    duration idle_timeout = std::chrono::minutes(3);
    /// An accepted connection must show an authentic frame within this.
    duration authentication_timeout = std::chrono::seconds(5);
    /// Period of acknowledgements, silence checks and closing.
    duration sweep_period = std::chrono::milliseconds(100);
    std::size_t max_queued_frames = 1024;
    std::size_t max_queued_bytes = std::size_t{2} * 1024 * 1024;
    /// Accepted connections that have not authenticated yet.
    std::size_t max_unauthenticated_connections = 256;
};

}  // namespace fuchsiaquay
