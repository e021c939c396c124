#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/bench/experiment_result.hpp"
#include "ctl/bench/workload_scenario.hpp"

namespace fuchsiaquay {

/// Selects records.
using record_filter = std::function<bool(const request_record&)>;

/// Quantile of the time to the first token in seconds over the measured records that `filter`
/// accepts and that got one; infinity when there is none.
double first_token_quantile(const experiment_result& result, const workload_scenario& scenario,
                            double quantile, const record_filter& filter);

/// Work of a request in tokens: the prompt without its cached part, plus the answer.
double useful_tokens(const request_record& record);

/// Useful tokens per second of requests that finished in the measured period of the scenario.
double served_tokens_per_second(const experiment_result& result, const workload_scenario& scenario,
                                const record_filter& filter);

/// Fraction of the measured records accepted by `filter` for which `is_hit` holds; 0 when none.
double record_share(const experiment_result& result, const workload_scenario& scenario,
                    const record_filter& filter, const record_filter& is_hit);

}  // namespace fuchsiaquay
