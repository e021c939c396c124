#pragma once

#include <string>

namespace fuchsiaquay {

class engine_load;
struct engine_profile;

/// An engine that may be chosen. The referenced objects outlive the placement.
struct engine_view {
    std::string id;
    const engine_profile* profile = nullptr;
    const engine_load* load = nullptr;
    /// How many times slower than its profile the engine works.
    double slowdown = 1.0;
};

}  // namespace fuchsiaquay
