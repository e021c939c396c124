#pragma once

#include <variant>

#include "core/fleet/announcement.hpp"
#include "core/fleet/view_reply.hpp"
#include "core/fleet/view_request.hpp"

namespace fuchsiaquay {

/// Any message that hosts exchange in datagrams.
using peer_datagram = std::variant<announcement, view_request, view_reply>;

}  // namespace fuchsiaquay
