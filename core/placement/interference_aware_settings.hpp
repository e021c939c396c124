#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of `interference_aware_placement`.
struct interference_aware_settings {
    /// Part of an allowed pause that a pass may fill; the rest is for the network and for work
    /// that other hosts place at the same moment.
    double gap_utilization = 0.8;
    /// Part of the time to the first event that the estimate may fill.
    double target_utilization = 0.85;
    /// The same for the engines that a short prompt is offered first: an estimate is often short by
    /// half a pass.
    double preferred_target_utilization = 0.65;
    /// Part of an engine's memory that is given out; answers may grow beyond their estimate.
    double memory_utilization = 0.97;
    /// Reading that may wait at an engine that takes a part of a prompt, or a prompt that is late
    /// already.
    duration max_idle_prefill = std::chrono::milliseconds(150);
    /// Free tokens from which an engine joins in holding a prompt.
    std::int64_t min_group_memory_tokens = 20'000;
    /// Engines that may read parts of one prompt besides the one that answers. Source: the
    /// engines' interface.
    int max_helpers = 16;
    /// Time that a forecast may be wrong by before a prompt that goes last stops waiting.
    duration forecast_margin = std::chrono::milliseconds(500);
    /// Part of an engine's slots that short prompts are spread to before they take another engine.
    double slot_utilization = 0.75;
};

}  // namespace fuchsiaquay
