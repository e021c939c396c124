#pragma once

#include <string>

namespace fuchsiaquay {

/// True for the status codes that end a request: 200 to 599. Interim codes (1xx) precede another
/// response, and all others are invalid, see RFC 9110, section 15.
bool is_final_status(int status);

/// Describes a status for which `is_final_status` is false.
std::string describe_invalid_status(int status);

}  // namespace fuchsiaquay
