#pragma once

#include <string>
#include <string_view>

#include "core/fleet/peer_datagram.hpp"

namespace fuchsiaquay {

/// @param now  time of sending, to which the encoded ages of works refer
std::string encode_datagram(const peer_datagram& message, instant now);

/// @param now  time of arrival
/// @throws operation_error  the bytes are not a valid datagram
peer_datagram decode_datagram(std::string_view bytes, instant now);

}  // namespace fuchsiaquay
