#pragma once

/// @file
/// Layout of JSON text: numbers in their shortest form, members in the order of the input.

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown for a text that is not valid JSON.
class json_error : public operation_error {
public:
    explicit json_error(const std::string& what) : operation_error("parse JSON", "local", what) {}
};

/// Formats `json` on several lines, indented, with a newline at the end.
/// @throws json_error  if the text is not JSON
std::string indent_json(const std::string& json);

/// Returns `text` as a JSON string, including the quotation marks.
std::string quote_json(const std::string& text);

}  // namespace fuchsiaquay
