#pragma once

#include <string>
#include <string_view>

namespace fuchsiaquay {

/// Standard base64 with padding.
std::string encode_base64(std::string_view bytes);
/// Decodes a base64 text. Returns an empty string if the text is malformed.
std::string decode_base64(std::string_view text);

}  // namespace fuchsiaquay
