#pragma once

#include <cstdint>
#include <string_view>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Delay within `span`, in whole milliseconds, that depends on `name`. It staggers hosts that would
/// otherwise act at the same time.
/// @param span  at least one millisecond
/// @param seed  changes the order of the names
duration stagger_delay(std::string_view name, duration span, std::uint64_t seed = 0);

}  // namespace fuchsiaquay
