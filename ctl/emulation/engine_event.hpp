#pragma once

#include <cstdint>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Something that happened to a stream.
struct engine_event {
    enum class kind {
        /// One token of the answer, number `offset`.
        token,
        /// The prefill of a held stream is complete.
        held,
        /// All tokens are out and the memory is free; follows the last token.
        finished
    };
    kind type = kind::token;
    std::string stream_id;
    std::int64_t offset = 0;
    /// Prompt tokens that the prefix cache saved.
    std::int64_t cached_tokens = 0;
    instant time{};
};

}  // namespace fuchsiaquay
