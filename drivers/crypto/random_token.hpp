#pragma once

#include <string>

namespace fuchsiaquay {

/// Generates a secret of 256 random bits: `prefix` followed by 64 hexadecimal digits.
/// @throws operation_error  if no random bytes are available
std::string random_token(const std::string& prefix);

}  // namespace fuchsiaquay
