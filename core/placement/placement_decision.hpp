#pragma once

#include <string>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Outcome of a placement.
struct placement_decision {
    enum class verdict {
        /// Send it to `engine` now.
        place,
        /// Nothing fits now; it may later.
        wait,
        /// It cannot be served in its time.
        refuse,
    };

    verdict outcome = verdict::wait;
    /// Upstream id of the engine that answers.
    std::string engine;
    /// Upstream ids of the engines that read parts of the prompt.
    std::vector<std::string> helpers;
    /// Estimated time until the first event.
    duration first_event{};
    /// What decided it, for the log.
    const char* reason = "";
};

}  // namespace fuchsiaquay
