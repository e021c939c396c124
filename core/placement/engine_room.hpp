#pragma once

#include <vector>

#include "core/placement/engine_view.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Whether the engines of a service are short for prompts with a given target: so few could begin
/// another one in time that the prompts which arrive before hosts hear of each other's work may
/// find none.
/// @param target  response-time goal of the first event
bool engines_short(const std::vector<engine_view>& engines, duration target, instant now);

}  // namespace fuchsiaquay
