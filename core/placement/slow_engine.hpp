#pragma once

#include <string>

namespace fuchsiaquay {

/// An engine that runs `slowdown` times slower than its profile.
struct slow_engine {
    std::string id;
    double slowdown = 1.0;
};

}  // namespace fuchsiaquay
