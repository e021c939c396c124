#pragma once

#include <cstdint>
#include <string>

#include "core/identity/names.hpp"
#include "core/request/execution.hpp"

namespace fuchsiaquay {

/// Result of one attempt at an upstream.
struct attempt_result {
    /// True if the whole answer was relayed.
    bool completed = false;
    execution ran = execution::maybe;
    /// Tokens that the caller has received, counted from the start of the answer.
    std::int64_t delivered_tokens = 0;
    /// Tokens that this attempt produced.
    std::int64_t generated_tokens = 0;
    /// Prompt tokens that the engine found in its prefix cache.
    std::int64_t cached_tokens = 0;
    /// Stable failure code, for example "connect", "stalled", "out_of_memory".
    std::string failure;
    /// Upstream that caused the failure; empty if it was the target of the plan.
    upstream_id failed_upstream;
    /// Answer of a service, which the journal stores completely or not at all.
    int status = 0;
    std::string content_type;
    std::string answer;
};

}  // namespace fuchsiaquay
