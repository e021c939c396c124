#pragma once

#include <cstddef>
#include <cstdint>

namespace fuchsiaquay {

/// Request counters of a host.
struct host_load {
    /// Requests accepted since the start.
    std::uint64_t requests = 0;
    /// Requests that are still active.
    std::size_t active = 0;
};

}  // namespace fuchsiaquay
