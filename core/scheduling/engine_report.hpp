#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "core/scheduling/engine_stream.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Complete list of an engine's streams, as read by the owner of the engine.
struct engine_report {
    std::vector<engine_stream> streams;
    /// KV memory of the engine in tokens.
    std::int64_t memory_tokens = 0;
    /// Time at which the list was requested; streams granted later are not expected in it.
    instant asked_at{};

    friend bool operator==(const engine_report& a, const engine_report& b) {
        return std::tie(a.streams, a.memory_tokens, a.asked_at) ==
               std::tie(b.streams, b.memory_tokens, b.asked_at);
    }
    friend bool operator!=(const engine_report& a, const engine_report& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
