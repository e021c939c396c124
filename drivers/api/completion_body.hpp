#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace fuchsiaquay {

struct api_limits;

/// Body of `/v1/completions` or `/v1/chat/completions`.
struct completion_body {
    std::string model;
    /// Prompt text; chat messages are joined to one.
    std::shared_ptr<const std::string> prompt;
    std::int64_t max_tokens = 0;
    bool stream = false;
    bool chat = false;
};

/// Reads and checks a completion body.
/// @throws bad_request that names the field and what is allowed
completion_body parse_completion(const std::string& text, bool chat, const api_limits& limits);

/// Tokens of a prompt, four bytes each, rounded up.
std::int64_t estimate_prompt_tokens(const std::string& prompt);

}  // namespace fuchsiaquay
