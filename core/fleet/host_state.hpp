#pragma once

namespace fuchsiaquay {

/// What a host says of itself to the others.
enum class host_state {
    /// Not yet able to serve, or no longer sure of its configuration.
    unready,
    ready,
    /// Finishes what it has and then stops.
    leaving,
    /// Able to serve, but callers are sent to other hosts.
    standby,
};

/// For the log.
const char* name_of(host_state state);

}  // namespace fuchsiaquay
