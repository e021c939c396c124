#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"
#include "drivers/frames/cluster_keys.hpp"

namespace fuchsiaquay {

/// Settings of the transport between a node and its peers.
struct transport_settings {
    host_id self;
    /// IP address to listen at.
    std::string address;
    /// 0 selects a free port; see `asio_peer_transport::port`.
    std::uint16_t port = 0;
    /// Port that peers connect to, for a host behind address translation; 0 means `port`.
    std::uint16_t advertised_port = 0;
    /// Start time of this process; must be greater than that of any earlier process of the host.
    std::uint64_t incarnation = 0;
    cluster_keys keys;

    duration connect_timeout = std::chrono::milliseconds(500);
    /// A connection counts as silent if a frame stays unacknowledged for this long. Doubles with
    /// each consecutive silent connection, up to `max_silence_timeout`.
    duration silence_timeout = std::chrono::milliseconds(600);
    duration max_silence_timeout = std::chrono::seconds(10);
    /// Delay after a failed connection attempt; doubles up to `max_silence_timeout`.
    duration redial_delay = std::chrono::milliseconds(100);
    /// Queued frames older than this are dropped.
    duration frame_lifetime = std::chrono::seconds(5);
    /// Connections without traffic for this long are closed.
    duration idle_timeout = std::chrono::minutes(3);
    /// An accepted connection is closed if no authentic frame arrives within this time.
    duration authentication_timeout = std::chrono::seconds(5);
    /// Period of acknowledgements, timeout checks and the closing of idle connections.
    duration sweep_period = std::chrono::milliseconds(100);
    std::size_t max_queued_frames = 1024;
    std::size_t max_queued_bytes = std::size_t{2} * 1024 * 1024;
    /// Limit of accepted connections without an authentic frame so far.
    std::size_t max_unauthenticated_connections = 256;
};

}  // namespace fuchsiaquay
