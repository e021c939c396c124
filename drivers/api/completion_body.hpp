#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace fuchsiaquay {

struct api_limits;

/// Body of `/v1/completions` or `/v1/chat/completions`.
struct completion_body {
    std::string model;
    /// Prompt text. The messages of a chat are joined into one text.
    std::shared_ptr<const std::string> prompt;
    std::int64_t max_tokens = 0;
    bool stream = false;
    bool chat = false;
};

/// Parses and validates a completion body.
/// @throws bad_request  names the field and the allowed values
completion_body parse_completion(const std::string& text, bool chat, const api_limits& limits);

/// Estimates the number of tokens of a prompt as four bytes per token, rounded up.
std::int64_t estimate_prompt_tokens(const std::string& prompt);

}  // namespace fuchsiaquay
