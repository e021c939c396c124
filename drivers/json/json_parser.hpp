#pragma once

// Includes cpprestsdk headers; include only in .cpp files that read JSON.

#include <cpprest/json.h>

#include <string>

namespace fuchsiaquay {

/// Parses a JSON text from outside.
/// @throws json_error  the text is malformed or nests more than 128 levels deep
web::json::value parse_json(const std::string& text);

}  // namespace fuchsiaquay
