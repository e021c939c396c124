#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_profile;
struct engine_view;
struct placement_request;
struct interference_aware_settings;

/// State of an engine at the time of a placement.
struct placement_candidate {
    const engine_view* engine = nullptr;
    int requests = 0;
    /// Pass duration and pending prefill time before the prompt is added.
    duration pass{};
    duration pending_prefill{};
    duration min_target_gap{};
    std::int64_t free_memory_tokens = 0;
    bool has_slot = false;
    /// The engine processes a part of a prompt, or a long prompt, that has no event yet.
    bool reads_long_prompt = false;
    /// The engine has a slot, and memory for the whole prompt and its answer.
    bool can_answer = false;
    /// Sort key of the engine order that all hosts share.
    std::uint64_t order = 0;

    /// Prefill time of a prompt of `tokens`, including the slowdown of the engine.
    duration estimated_prefill_time(std::int64_t tokens) const;
    /// Estimated time until the first event if a prompt with the prefill time `prefill` is added.
    duration time_to_first_event(duration prefill) const;
    /// True if `prefill` would lengthen a pass beyond the `target_gap` of a stream on the engine.
    bool would_delay_streams(duration prefill, const interference_aware_settings& settings) const;
    /// True if a part of a prompt with the prefill time `prefill` would hold up another prompt that
    /// the engine processes, because engines process parts before everything else.
    bool would_delay_prompt(duration prefill, const interference_aware_settings& settings) const;
    /// The same for streams or another prompt.
    bool part_would_delay_others(duration prefill,
                                 const interference_aware_settings& settings) const {
        return would_delay_streams(prefill, settings) || would_delay_prompt(prefill, settings);
    }
};

/// Memory of an engine that may be allocated, in tokens.
double usable_memory_tokens(const engine_profile& profile,
                            const interference_aware_settings& settings);

/// Minimum number of engines whose memory can hold a prompt of `tokens`.
std::size_t engines_needed(const engine_profile& profile, std::int64_t tokens,
                           const interference_aware_settings& settings);

duration scaled(duration value, double factor);

/// Hash that makes hosts that decide at the same time choose different engines among equal ones.
std::uint64_t spread_hash(const placement_request& request, const engine_view& engine);

}  // namespace fuchsiaquay
