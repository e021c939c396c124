#pragma once

#include <cstdint>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// One choice, for the reservation and for the log line.
struct scored_candidate {
    upstream_id upstream;
    /// Lower is better; seconds for selectors that estimate time.
    double score = 0.0;
    std::int64_t cached_tokens = 0;
    /// Stable short words that explain the score.
    std::string reason;
};

}  // namespace fuchsiaquay
