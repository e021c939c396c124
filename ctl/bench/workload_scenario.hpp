#pragma once

#include <cstddef>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Modifies the traffic of a profile.
struct workload_scenario {
    std::string name;
    bool with_long_prompts = true;
    /// Multiplies all traffic.
    double scale = 1.0;
    /// Multiplies the traffic of one level; -1 for none.
    int flooded_level = -1;
    double level_factor = 1.0;
    /// Multiplies the traffic of the first customer; 0 leaves it out.
    double first_customer_factor = 1.0;
    /// Requests arrive from time 0 to this time.
    duration length = std::chrono::seconds(240);
    /// Requests that arrive before this are not measured.
    duration warm_up = std::chrono::seconds(40);
};

}  // namespace fuchsiaquay
