#pragma once

#include <vector>

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// Hosts of one data centre that serve callers, and what they serve together.
struct serving_group {
    std::vector<host_record> hosts;
    double requests_per_s = 0.0;
};

}  // namespace fuchsiaquay
