#pragma once

#include <variant>

#include "core/fleet/announcement.hpp"
#include "core/fleet/view_reply.hpp"
#include "core/fleet/view_request.hpp"

namespace fuchsiaquay {

/// Anything that hosts send each other in a datagram.
using peer_datagram = std::variant<announcement, view_request, view_reply>;

}  // namespace fuchsiaquay
