#pragma once

// Includes cpprestsdk headers; include only in .cpp files that write JSON.

#include <cpprest/json.h>

#include <string>

namespace fuchsiaquay {

/// Line breaks and indentation of JSON text.
enum class json_layout { one_line, indented };

/// Serializes `value`, with each number in the shortest form that parses to the same value.
/// web::json itself prints 17 digits, so operators would see 0.2 as 0.20000000000000001.
std::string write_json(const web::json::value& value, json_layout layout);

}  // namespace fuchsiaquay
