#pragma once

#include <cstdint>
#include <string>

#include "core/identity/names.hpp"
#include "core/request/execution.hpp"

namespace fuchsiaquay {

/// How one attempt at an upstream ended.
struct attempt_result {
    /// True: the whole answer has been relayed.
    bool completed = false;
    execution ran = execution::maybe;
    /// Tokens the caller holds now, counted from the start of the answer.
    std::int64_t delivered_tokens = 0;
    /// Tokens this attempt produced.
    std::int64_t generated_tokens = 0;
    /// Prompt tokens the engine found in its prefix cache.
    std::int64_t cached_tokens = 0;
    /// Stable word for the failure, for example "connect", "stalled", "out_of_memory".
    std::string failure;
    /// Upstream at fault; empty for the target of the plan.
    upstream_id failed_upstream;
    /// Answer of a service, for the journal, which keeps it whole or not at all.
    int status = 0;
    std::string content_type;
    std::string answer;
};

}  // namespace fuchsiaquay
