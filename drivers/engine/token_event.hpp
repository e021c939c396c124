#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// One token of a streamed response.
struct token_event {
    /// Index of the token in the response, from 0.
    std::int64_t offset = 0;
    std::string text;
    /// Set only in the last token.
    std::string finish_reason;
};

}  // namespace fuchsiaquay
