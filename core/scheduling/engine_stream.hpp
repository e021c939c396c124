#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/scheduling/stream_phase.hpp"

namespace fuchsiaquay {

/// One stream in the list that an engine reports.
struct engine_stream {
    /// Grant of the stream; its id is the stream id at the engine.
    grant_id grant;
    std::int64_t memory_tokens = 0;
    std::int64_t generated_tokens = 0;
    stream_phase phase = stream_phase::waiting;
    /// True if the owner that granted the stream is unreachable; it may still be serving the
    /// stream.
    bool issuer_unreachable = false;

    friend bool operator==(const engine_stream& a, const engine_stream& b) {
        return std::tie(a.grant, a.memory_tokens, a.generated_tokens, a.phase,
                        a.issuer_unreachable) == std::tie(b.grant, b.memory_tokens,
                                                          b.generated_tokens, b.phase,
                                                          b.issuer_unreachable);
    }
    friend bool operator!=(const engine_stream& a, const engine_stream& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
