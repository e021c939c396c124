#pragma once

#include <optional>
#include <string>

namespace fuchsiaquay {

/// `target` as parts of `base` and what is new, for texts that differ in a few places of a list.
/// Lines `copy OFFSET LENGTH` and `add LENGTH`, the latter followed by that many bytes, after a
/// first line with size and hash of the target.
std::string make_text_delta(const std::string& base, const std::string& target);

/// The target again. Empty when the delta was made for another base or is damaged.
std::optional<std::string> apply_text_delta(const std::string& base, const std::string& delta);

}  // namespace fuchsiaquay
