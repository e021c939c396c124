#pragma once

#include <string>

namespace fuchsiaquay {

/// Lines that differ between two texts, "-" for those only in `before`, "+" for those only in
/// `after`, " " for lines around them that are the same. Empty when the texts are equal.
std::string text_diff(const std::string& before, const std::string& after);

}  // namespace fuchsiaquay
