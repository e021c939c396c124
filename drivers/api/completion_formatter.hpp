#pragma once

#include <string>
#include <vector>

#include "drivers/engine/token_event.hpp"

namespace fuchsiaquay {

struct refusal;

/// Texts of one completion's answer in the OpenAI style, plain and streamed.
class completion_formatter {
public:
    /// @param chat  true for `/v1/chat/completions`
    /// @param cluster_key, request_digest  sign the event ids
    completion_formatter(std::string answer_id, std::string model, bool chat,
                         std::string cluster_key, std::string request_digest);

    /// Server-sent events of `events`, in order.
    std::string stream_chunk(const std::vector<token_event>& events) const;
    std::string stream_end() const;
    std::string stream_error(const refusal& reason) const;
    /// The whole answer as one JSON object.
    std::string full_response(const std::string& text, const std::string& finish_reason,
                              std::int64_t prompt_tokens, std::int64_t completion_tokens) const;

private:
    std::string answer_id_;
    std::string model_;
    bool chat_;
    std::string cluster_key_;
    std::string request_digest_;
    std::string event_head_;
};

/// JSON text of an error towards callers.
std::string error_body(const refusal& reason);

}  // namespace fuchsiaquay
