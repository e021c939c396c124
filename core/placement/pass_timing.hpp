#pragma once

/// @file
/// Timing of an engine's passes by its published figures.

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_profile;

/// Prompts that take longer to read are long: they wait in an order that all hosts share.
constexpr duration long_prefill_threshold = std::chrono::milliseconds(130);

/// Prompts that take longer to read earn less for the time of an engine than all others: they go
/// last among those that wait.
constexpr duration very_long_prefill_threshold = std::chrono::seconds(10);

/// Time to read a prompt of `tokens`, with nothing else in the way.
duration prefill_time(const engine_profile& profile, std::int64_t tokens);

/// Time that the token steps of a pass take.
/// @param context_tokens  context of all writers together
duration decode_pass_time(const engine_profile& profile, int writers, std::int64_t context_tokens);

/// Most reading, as time, that one pass with writers takes in when `pending` waits to be read.
duration prefill_time_in_pass(const engine_profile& profile, duration pending);

}  // namespace fuchsiaquay
