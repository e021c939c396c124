#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/scenarios/checker/attempt.hpp"

namespace fuchsiaquay::scenarios {

/// One call with all its attempts. Times are wall clock milliseconds.
struct call_record {
    enum class kind { completion, service };
    std::int64_t id = 0;
    kind type = kind::completion;
    /// Prompt of a completion, body of a service call.
    std::string body;
    std::int64_t max_tokens = 0;
    /// `Idempotency-Key` of a service call.
    std::string key;
    bool repeatable = true;
    /// Time limit of one attempt.
    std::int64_t deadline_ms = 0;
    std::string answer;
    std::vector<attempt> attempts;
    /// False while the caller waits; an error if it still is when the scenario has ended.
    bool ended = false;
};

}  // namespace fuchsiaquay::scenarios
