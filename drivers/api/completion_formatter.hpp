#pragma once

#include <string>
#include <vector>

#include "drivers/engine/token_event.hpp"

namespace fuchsiaquay {

struct refusal;

/// Formats the response to one completion request as in the OpenAI API, streamed or as one JSON
/// object.
class completion_formatter {
public:
    /// @param chat            true for `/v1/chat/completions`
    /// @param cluster_key     key that signs the event ids
    /// @param request_digest  digest of the request, part of the signed text
    completion_formatter(std::string completion_id, std::string model, bool chat,
                         std::string cluster_key, std::string request_digest);

    /// Formats tokens as server-sent events, in the order given.
    std::string stream_chunk(const std::vector<token_event>& events) const;
    std::string stream_end() const;
    std::string stream_error(const refusal& reason) const;
    /// Formats the response to a request without streaming.
    std::string full_response(const std::string& text, const std::string& finish_reason,
                              std::int64_t prompt_tokens, std::int64_t completion_tokens) const;

private:
    std::string completion_id_;
    std::string model_;
    bool chat_;
    std::string cluster_key_;
    std::string request_digest_;
    std::string event_prefix_;
};

/// Returns the JSON body of an error response to a caller.
std::string error_body(const refusal& reason);

}  // namespace fuchsiaquay
