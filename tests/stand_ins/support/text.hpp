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

/// Number of tokens in a text: one for each four bytes, rounded up.
std::int64_t token_count(const std::string& text);

}  // namespace fuchsiaquay::stand_ins
