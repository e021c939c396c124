#pragma once

// Includes cpprestsdk: for .cpp files of the JSON codecs only.

#include <cpprest/json.h>

#include <string>

namespace fuchsiaquay {

/// Line breaks and indentation of JSON text.
enum class json_layout { one_line, indented };

/// JSON text of `value` with numbers in their shortest form that reads back the same. web::json
/// itself prints 17 digits, so 0.2 would reach operators as 0.20000000000000001.
std::string write_json(const web::json::value& value, json_layout layout);

}  // namespace fuchsiaquay
