#pragma once

#include <cstdint>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Progress of a stream.
struct engine_event {
    enum class kind {
        /// Answer token number `offset`.
        token,
        /// The prefill of a held stream is complete.
        held,
        /// All tokens are generated and the memory is freed; follows the last token.
        finished
    };
    kind type = kind::token;
    std::string stream_id;
    std::int64_t offset = 0;
    /// Prompt tokens found in the prefix cache.
    std::int64_t cached_tokens = 0;
    instant time{};
};

}  // namespace fuchsiaquay
