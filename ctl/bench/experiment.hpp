#pragma once

#include "ctl/bench/experiment_result.hpp"
#include "ctl/bench/experiment_settings.hpp"

namespace fuchsiaquay {

/// Runs one workload through entry hosts, owners and emulated engines in virtual time.
/// Deterministic: equal settings give equal results.
experiment_result run_experiment(const experiment_settings& settings);

}  // namespace fuchsiaquay
