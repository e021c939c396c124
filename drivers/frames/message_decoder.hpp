#pragma once

#include <optional>

#include "core/messages/peer_message.hpp"
#include "drivers/frames/peer_frames_generated.h"

namespace fuchsiaquay {

/// Reads the body of a verified frame. Nothing if the body is absent, of an unknown type or holds
/// an unknown enumerator.
std::optional<peer_message> decode_message(const wire::Frame& frame);

}  // namespace fuchsiaquay
