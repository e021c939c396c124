#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// One entry of an engine's list of streams.
struct stream_status {
    enum class state { waiting, prefill, decode, held };
    std::string stream_id;
    std::int64_t memory_tokens = 0;
    std::int64_t generated = 0;
    int priority = 0;
    state phase = state::waiting;
    /// Tokens still to be computed before the first token.
    std::int64_t prefill_left = 0;
};

}  // namespace fuchsiaquay
