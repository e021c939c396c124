#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "drivers/engine/token_event.hpp"

namespace fuchsiaquay {

/// Parses an engine's event stream into token events. Drops events of other streams and repeated
/// offsets and rejects gaps, so that no caller receives late tokens or those of another request.
class stream_parser {
public:
    /// @param stream_id    events with another id are dropped
    /// @param next_offset  offset of the first token expected
    stream_parser(std::string stream_id, std::int64_t next_offset);

    /// Appends received bytes and returns the token events that are complete.
    /// @throws operation_error on malformed events and on gaps in the offsets
    std::vector<token_event> feed(const std::string& bytes);

    /// True after the last token and the end marker of the stream have been received.
    bool done() const noexcept { return end_marker_received_ && last_token_received_; }
    std::int64_t next_offset() const noexcept { return next_offset_; }
    std::int64_t prompt_tokens() const noexcept { return prompt_tokens_; }
    std::int64_t completion_tokens() const noexcept { return completion_tokens_; }
    std::int64_t cached_tokens() const noexcept { return cached_tokens_; }

private:
    void accept_data(const std::string& data, std::vector<token_event>& events);

    std::string stream_id_;
    std::int64_t next_offset_;
    std::string pending_;
    bool end_marker_received_ = false;
    bool last_token_received_ = false;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t completion_tokens_ = 0;
    std::int64_t cached_tokens_ = 0;
};

}  // namespace fuchsiaquay
