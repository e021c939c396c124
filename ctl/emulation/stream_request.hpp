#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// One stream as it is submitted to an engine.
struct stream_request {
    std::string stream_id;
    std::int64_t prompt_tokens = 0;
    /// Tokens to generate, counted from the start of the answer.
    std::int64_t max_tokens = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Answer tokens the caller already has; they are computed again but not reported.
    std::int64_t resume_from = 0;
    /// Prompt tokens whose KV other engines hold for this stream; they need neither memory nor
    /// prefill here.
    std::int64_t remote_tokens = 0;
    /// When true, keep the KV cache after the prefill and generate nothing.
    bool hold = false;
    /// Hashes of the prompt's prefixes of 1, 2, 3, ... cache blocks; may cover only its start.
    std::vector<std::uint64_t> prefix_hashes;
};

}  // namespace fuchsiaquay
