#pragma once

#include <string>

namespace fuchsiaquay {

/// An engine that works `pace` times slower than its profile.
struct slow_engine {
    std::string id;
    double pace = 1.0;
};

}  // namespace fuchsiaquay
