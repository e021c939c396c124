#pragma once

#include <cstdint>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/bench/request_record.hpp"

namespace fuchsiaquay {

/// Outcome of one run.
struct experiment_result {
    std::vector<request_record> records;
    /// Engine memory that is still used or granted after all requests ended, in tokens.
    std::int64_t leaked_memory_tokens = 0;
    /// Number of times that an engine refused a granted stream because it was out of memory.
    std::int64_t engine_refusals = 0;
    std::int64_t reservation_messages = 0;
    /// Mean error of the owners' start estimates and of the entry hosts' output estimates.
    duration start_estimate_error{};
    double output_estimate_error = 0.0;
};

}  // namespace fuchsiaquay
