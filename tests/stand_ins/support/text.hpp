#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::stand_ins {

/// 16 lower-case hexadecimal digits.
std::string hex16(std::uint64_t value);

/// Wall clock, milliseconds since the epoch.
std::int64_t wall_clock_ms();

/// Token `offset` of the answer to `prompt`: a space and six hexadecimal digits.
std::string answer_token(const std::string& prompt, std::uint64_t offset);

/// Tokens of a text: a token for every four bytes begun.
std::int64_t token_count(const std::string& text);

}  // namespace fuchsiaquay::stand_ins
