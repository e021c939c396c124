#pragma once

#include <cstdint>
#include <vector>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Properties of a request that the choice of an upstream depends on.
struct routing_request {
    request_id request;
    customer_id customer;
    model_id model;
    /// Priority level; 0 is the most urgent.
    int level = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    /// KV cache needed for the prompt and the longest possible answer, in tokens.
    std::int64_t memory_tokens = 0;
    duration time_left{};
    /// Hashes of the prompt's prefixes of 1, 2, 3, ... cache blocks; may not cover the whole
    /// prompt.
    std::vector<std::uint64_t> prefix_hashes;
};

}  // namespace fuchsiaquay
