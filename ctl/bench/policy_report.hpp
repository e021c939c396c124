#pragma once

#include <iosfwd>
#include <vector>

#include "ctl/bench/policy_result.hpp"

namespace fuchsiaquay {

/// Writes a table for each profile: a row for each measure, a column for each variant, median and
/// spread over the seeds.
void write_policy_table(std::ostream& out, const std::vector<policy_result>& results);
/// One line for each profile, variant, seed and measure.
void write_policy_csv(std::ostream& out, const std::vector<policy_result>& results);
/// One panel for each profile and measure: a bar for each variant, its spread, the target.
void write_policy_svg(std::ostream& out, const std::vector<policy_result>& results);

}  // namespace fuchsiaquay
