#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Load of an engine as it was `age` ago.
struct engine_load {
    std::int64_t memory_tokens = 0;
    std::int64_t free_memory_tokens = 0;
    std::int64_t queued_prefill_tokens = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    duration age{};
};

}  // namespace fuchsiaquay
