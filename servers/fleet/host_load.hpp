#pragma once

#include <cstddef>
#include <cstdint>

namespace fuchsiaquay {

/// What a host has had to do.
struct host_load {
    /// Requests taken since the start.
    std::uint64_t requests = 0;
    /// Requests that have not ended.
    std::size_t active = 0;
};

}  // namespace fuchsiaquay
