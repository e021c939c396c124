#pragma once

/// @file
/// Brings cpprestsdk headers with it: include in .cpp files of the bindings only.

#include <cpprest/http_msg.h>

#include <string>

namespace fuchsiaquay {

/// Value of a header, empty when it is absent.
std::string header_of(const web::http::http_request& message, const char* name);

/// Token of `Authorization: Bearer TOKEN`, empty when there is none.
std::string bearer_token_of(const web::http::http_request& message);

}  // namespace fuchsiaquay
