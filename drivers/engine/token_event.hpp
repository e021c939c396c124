#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// One token of a streamed answer.
struct token_event {
    /// Number of the token in the answer, from 0.
    std::int64_t offset = 0;
    std::string text;
    /// Set at the last token.
    std::string finish_reason;
};

}  // namespace fuchsiaquay
