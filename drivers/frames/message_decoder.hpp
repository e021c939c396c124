#pragma once

#include <optional>

#include "core/messages/peer_message.hpp"
#include "drivers/frames/peer_frames_generated.h"

namespace fuchsiaquay {

/// Decodes the body of a verified frame. Returns nothing if the body is absent, has an unknown type
/// or holds an unknown enumerator.
std::optional<peer_message> decode_message(const wire::Frame& frame);

}  // namespace fuchsiaquay
