#pragma once

#include <string>

namespace fuchsiaquay {

class engine_load;
struct engine_profile;

/// An engine that is available for placement. The referenced objects must outlive the placement.
struct engine_view {
    std::string id;
    const engine_profile* profile = nullptr;
    const engine_load* load = nullptr;
    /// Factor by which the engine is slower than its profile.
    double slowdown = 1.0;
    /// Null if it is not known; empty if the entry of the engine does not name it.
    const std::string* data_centre = nullptr;
    /// Whether the engine started, or was without work, so shortly ago that it is still cold.
    bool cold = false;
};

}  // namespace fuchsiaquay
