#pragma once

#include <string>
#include <vector>

namespace fuchsiaquay {

/// One row of the table: a ratio inside one run of the bench, with its target.
struct policy_measure {
    /// Stable name for CSV.
    std::string name;
    std::string description;
    double target = 0.0;
    /// True when the value must not exceed the target, false when it must reach it.
    bool upper = true;

    bool met(double value) const { return upper ? value <= target : value >= target; }
};

/// The rows in order; `measure_policy` gives one value for each.
const std::vector<policy_measure>& policy_measures();

}  // namespace fuchsiaquay
