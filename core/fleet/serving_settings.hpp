#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// How many hosts of a fleet serve callers; the others stand by.
struct serving_settings {
    /// Serving hosts of the whole fleet, at least.
    std::size_t hosts = 15;
    std::size_t data_centres = 1;
    /// Requests a second of a serving host from which its data centre needs another one.
    double requests_per_host = 30.0;
};

}  // namespace fuchsiaquay
