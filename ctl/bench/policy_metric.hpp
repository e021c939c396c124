#pragma once

#include <string>
#include <vector>

namespace fuchsiaquay {

/// One row of the table: a ratio inside one run of the bench, with its target.
struct policy_metric {
    /// Stable name for CSV.
    std::string name;
    std::string description;
    double target = 0.0;
    /// True when the value must not exceed the target, false when it must reach it.
    bool is_upper_limit = true;

    bool meets_target(double value) const {
        return is_upper_limit ? value <= target : value >= target;
    }
};

/// The rows in order; `measure_policy` gives one value for each.
const std::vector<policy_metric>& policy_metrics();

}  // namespace fuchsiaquay
