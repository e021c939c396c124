#pragma once

#include <vector>

#include "core/placement/engine_view.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Whether the engines of a service are short for prompts with a given target: so few could begin
/// another one in time, without delaying the streams there, that the prompts which arrive before
/// hosts hear of each other's work may find none.
/// @param target  response-time goal of the first event
/// @param usual_prefill  prefill time of a usual prompt with this target, on one engine
/// @param prompts_per_s  prompts of this rank that all hosts dispatch
bool engines_short(const std::vector<engine_view>& engines, duration target, duration usual_prefill,
                   double prompts_per_s, instant now);

}  // namespace fuchsiaquay
