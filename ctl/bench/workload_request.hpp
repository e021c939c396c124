#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// One request of a generated workload.
struct workload_request {
    std::size_t number = 0;
    instant arrival{};
    /// Index into the customers of the profile.
    std::size_t customer = 0;
    /// Rank level, index into the ranks of the profile.
    int level = 0;
    /// False when the request goes to the ordering engines.
    bool assistant = true;
    std::int64_t prompt_tokens = 0;
    /// Actual length of the answer, and the limit that the caller sets.
    std::int64_t output_tokens = 0;
    std::int64_t max_tokens = 0;
    duration deadline{};
    std::vector<std::uint64_t> prefix_hashes;
};

}  // namespace fuchsiaquay
