#pragma once

/// @file
/// Timing of engine passes, estimated from the published figures of the engine profile.

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_profile;

/// Prompts with a longer prefill time are long. They wait in a queue order that all hosts share.
constexpr duration long_prefill_threshold = std::chrono::milliseconds(130);

/// Prompts with a longer prefill time are placed last in the queue, because they earn the least for
/// the engine time that they take.
constexpr duration very_long_prefill_threshold = std::chrono::seconds(10);

/// Prefill time of a prompt of `tokens` on an otherwise idle engine.
duration prefill_time(const engine_profile& profile, std::int64_t tokens);

/// Duration of the token steps of one pass.
/// @param context_tokens  total context of all decoding requests
duration decode_pass_time(const engine_profile& profile, int decoding_requests,
                          std::int64_t context_tokens);

/// Maximum prefill time that one pass with decoding requests includes when `pending` is queued.
duration prefill_time_in_pass(const engine_profile& profile, duration pending);

}  // namespace fuchsiaquay
