#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Limits on caller requests and connections. The defaults apply until a configuration is loaded.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    /// Maximum time for a caller to send the header of a request.
    duration header_timeout = std::chrono::seconds(3);
    /// Maximum time that a connection may stay open without a request.
    duration idle_timeout = std::chrono::seconds(15);
    /// Maximum time for a caller to send a request, from its first byte to its last.
    duration body_timeout = std::chrono::seconds(120);
    /// Connections that may be open at a time.
    std::size_t connections = 10'000;
};

}  // namespace fuchsiaquay
