#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// Number of hosts of a fleet that serve callers; the others are on standby.
struct serving_settings {
    /// Minimum number of serving hosts in the whole fleet.
    std::size_t hosts = 15;
    std::size_t data_centres = 1;
    /// Requests per second of a serving host above which its data centre needs another one.
    double requests_per_host = 30.0;
};

}  // namespace fuchsiaquay
