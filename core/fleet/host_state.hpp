#pragma once

namespace fuchsiaquay {

/// State of a host as it announces it to the other hosts.
enum class host_state {
    /// Not able to serve: the configuration is not loaded yet or may be outdated.
    unready,
    ready,
    /// Finishes its active requests and then stops.
    leaving,
    /// Able to serve, but callers are directed to other hosts.
    standby,
};

/// Name of the state for log lines.
const char* name_of(host_state state);

}  // namespace fuchsiaquay
