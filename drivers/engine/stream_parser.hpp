#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "drivers/engine/token_event.hpp"

namespace fuchsiaquay {

/// Cuts an engine's event stream into token events. Events of other streams, repeated offsets and
/// gaps are found here, so that no caller receives a late or crossed answer.
class stream_parser {
public:
    /// @param stream_id  events that carry another id are dropped
    /// @param next_offset  first offset expected
    stream_parser(std::string stream_id, std::int64_t next_offset);

    /// Takes in bytes and returns the complete token events among them.
    /// @throws operation_error on malformed events and on gaps in the offsets
    std::vector<token_event> feed(const std::string& bytes);

    /// True once the end mark of the stream has been seen after the last token.
    bool done() const noexcept { return done_ && finished_; }
    std::int64_t next_offset() const noexcept { return next_offset_; }
    std::int64_t prompt_tokens() const noexcept { return prompt_tokens_; }
    std::int64_t completion_tokens() const noexcept { return completion_tokens_; }
    std::int64_t cached_tokens() const noexcept { return cached_tokens_; }

private:
    void accept_data(const std::string& data, std::vector<token_event>& events);

    std::string stream_id_;
    std::int64_t next_offset_;
    std::string pending_;
    bool done_ = false;
    bool finished_ = false;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t completion_tokens_ = 0;
    std::int64_t cached_tokens_ = 0;
};

}  // namespace fuchsiaquay
