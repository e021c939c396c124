#pragma once

#include <vector>

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// Serving hosts of one data centre, and their total request rate.
struct serving_group {
    std::vector<host_record> hosts;
    double requests_per_s = 0.0;
};

}  // namespace fuchsiaquay
