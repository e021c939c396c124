#pragma once

#include <string>
#include <vector>

namespace fuchsiaquay {

/// A metric with its target; one row of the table. Ratios compare values of the same benchmark run.
struct policy_metric {
    /// Stable name for the CSV output.
    std::string name;
    std::string description;
    double target = 0.0;
    /// True when the value must not exceed the target, false when it must reach it.
    bool is_upper_limit = true;

    bool meets_target(double value) const {
        return is_upper_limit ? value <= target : value >= target;
    }
};

/// All metrics in the order of the table; `measure_policy` returns one value for each.
const std::vector<policy_metric>& policy_metrics();

}  // namespace fuchsiaquay
