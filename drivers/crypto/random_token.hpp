#pragma once

#include <string>

namespace fuchsiaquay {

/// A new secret of 256 random bits: `prefix` and 64 hexadecimal digits.
/// @throws operation_error  the system gives no random bytes
std::string random_token(const std::string& prefix);

}  // namespace fuchsiaquay
