#pragma once

#include <cstdint>
#include <string_view>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Delay of `name` within `span`, in whole milliseconds: hosts that would act at the same moment
/// act one after the other.
/// @param span  one millisecond or more
/// @param seed  gives the names another order
duration stagger_delay(std::string_view name, duration span, std::uint64_t seed = 0);

}  // namespace fuchsiaquay
