#pragma once

#include <string>
#include <string_view>

namespace fuchsiaquay {

/// SHA-256 of `bytes` in lower-case hexadecimal.
std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA256 of `bytes` under `key` in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view key, std::string_view bytes);

/// Compares two texts in constant time, to prevent timing attacks.
bool constant_time_equal(std::string_view a, std::string_view b);

}  // namespace fuchsiaquay
