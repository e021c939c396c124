#pragma once

/// @file
/// Layout of JSON text: numbers in their shortest form, members in the order of the input.

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// A text that is not JSON.
class json_error : public operation_error {
public:
    explicit json_error(const std::string& what) : operation_error("parse JSON", "local", what) {}
};

/// `json` over several lines, indented, ending with a newline.
/// @throws json_error  the text is not JSON
std::string indent_json(const std::string& json);

/// `text` as a JSON string with its quotation marks.
std::string quote_json(const std::string& text);

}  // namespace fuchsiaquay
