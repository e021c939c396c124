#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "core/scheduling/engine_stream.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// An engine's complete list of streams, as its owner reads it.
struct engine_report {
    std::vector<engine_stream> streams;
    /// KV memory of the engine in tokens.
    std::int64_t memory_tokens = 0;
    /// When the list was asked for; streams granted later are not expected in it.
    instant asked_at{};

    friend bool operator==(const engine_report& a, const engine_report& b) {
        return std::tie(a.streams, a.memory_tokens, a.asked_at) ==
               std::tie(b.streams, b.memory_tokens, b.asked_at);
    }
    friend bool operator!=(const engine_report& a, const engine_report& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
