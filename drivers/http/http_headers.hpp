#pragma once

/// @file
/// Includes cpprestsdk headers; include only in .cpp files of the drivers.

#include <cpprest/http_msg.h>

#include <string>

namespace fuchsiaquay {

/// Value of a header; empty if it is absent.
std::string header_of(const web::http::http_request& message, const char* name);

/// Token of `Authorization: Bearer TOKEN`, empty if there is none.
std::string bearer_token_of(const web::http::http_request& message);

}  // namespace fuchsiaquay
