#pragma once

#include <cstdint>
#include <string>

#include "core/request/execution.hpp"

namespace fuchsiaquay {

/// How a call to an engine ended.
struct engine_outcome {
    bool completed = false;
    execution ran = execution::maybe;
    /// One of: "connect", "stalled", "out_of_memory", "broken", "cancelled", "status_NNN".
    std::string failure;
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    std::int64_t cached_tokens = 0;
};

}  // namespace fuchsiaquay
