#pragma once

#include <string>

namespace fuchsiaquay {

/// True for the status codes that end a request: 200 to 599, see RFC 9110, section 15.
bool is_final_status(int status);

/// True for the status codes that precede another response: 1xx. 101 is none of them, since no
/// request asks for another protocol.
bool is_interim_status(int status);

/// Describes a status that ends no request and precedes no response.
std::string describe_invalid_status(int status);

}  // namespace fuchsiaquay
