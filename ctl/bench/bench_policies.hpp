#pragma once

#include <iosfwd>
#include <vector>

#include "ctl/bench/bench_options.hpp"
#include "ctl/bench/policy_result.hpp"

namespace fuchsiaquay {

/// Measures the chosen variants on the chosen profiles and seeds in virtual time.
std::vector<policy_result> measure_policies(const bench_options& options);

/// The `bench policies` command: measures, prints the table, writes CSV and SVG on request.
/// @return 0 when the first variant meets every target on every profile, 1 when it does not,
///         2 when nothing was chosen or a file cannot be written
int run_bench_policies(const bench_options& options, std::ostream& out);

}  // namespace fuchsiaquay
