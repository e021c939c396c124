#pragma once

#include <optional>
#include <string>

namespace fuchsiaquay {

/// Encodes `target` as copied ranges of `base` and added text. Intended for texts that differ in a
/// few items of a list. Format: a first line with the size and hash of the target, then lines
/// `copy OFFSET LENGTH`, and `add LENGTH` followed by that many bytes.
std::string make_text_delta(const std::string& base, const std::string& target);

/// Restores the target. Returns nothing if the delta belongs to another base or is corrupted.
std::optional<std::string> apply_text_delta(const std::string& base, const std::string& delta);

}  // namespace fuchsiaquay
