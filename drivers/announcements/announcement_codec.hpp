#pragma once

#include <string>
#include <string_view>

#include "core/fleet/announcement.hpp"

namespace fuchsiaquay {

/// @param now  time of sending; ages of the works count from it
std::string encode_announcement(const announcement& message, instant now);

/// @param now  time of arrival
/// @throws step_error  the bytes are no announcement
announcement decode_announcement(std::string_view bytes, instant now);

}  // namespace fuchsiaquay
