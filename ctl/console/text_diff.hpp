#pragma once

#include <string>

namespace fuchsiaquay {

/// Line diff of two texts: "-" marks lines only in `before`, "+" lines only in `after`, and " " the
/// unchanged lines around them. Empty when the texts are equal.
std::string text_diff(const std::string& before, const std::string& after);

}  // namespace fuchsiaquay
