#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Time limit for establishing a connection to an upstream. It leaves enough of the target for a
/// second upstream, because a lost opening packet is sent again only after a second.
/// @param target  time within which the response or its first event is on time
duration connect_timeout(duration target);

}  // namespace fuchsiaquay
