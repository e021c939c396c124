#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/bench/experiment_result.hpp"
#include "ctl/bench/workload_scenario.hpp"

namespace fuchsiaquay {

/// Chooses records.
using record_filter = std::function<bool(const request_record&)>;

/// Quantile of the time to the first token in seconds over the measured records that `wanted`
/// accepts and that got one; infinity when there is none.
double first_token_quantile(const experiment_result& result, const workload_scenario& scenario,
                            double quantile, const record_filter& wanted);

/// Work of a request in tokens: prompt without what the cache saved, and answer.
double useful_tokens(const request_record& record);

/// Useful tokens a second of requests that finished inside the measured part of the scenario.
double served_tokens_per_second(const experiment_result& result, const workload_scenario& scenario,
                                const record_filter& wanted);

/// Part of the measured records that `wanted` accepts for which `is_hit` holds; 0 when none.
double record_share(const experiment_result& result, const workload_scenario& scenario,
                    const record_filter& wanted, const record_filter& is_hit);

}  // namespace fuchsiaquay
