#pragma once

#include <cstdint>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// A candidate with its score, for the reservation and the log.
struct scored_candidate {
    upstream_id upstream;
    /// Lower is better. In seconds for selectors that estimate time.
    double score = 0.0;
    std::int64_t cached_tokens = 0;
    /// Short, stable identifier that explains the score.
    std::string reason;
};

}  // namespace fuchsiaquay
