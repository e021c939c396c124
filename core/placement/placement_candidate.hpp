#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_profile;
struct engine_view;
struct placement_request;
struct interference_aware_settings;

/// An engine as a placement sees it.
struct placement_candidate {
    const engine_view* engine = nullptr;
    int requests = 0;
    /// Pass and reading that wait there before the prompt is added.
    duration pass{};
    duration pending_prefill{};
    duration min_target_gap{};
    std::int64_t free_memory_tokens = 0;
    bool has_slot = false;
    /// It can hold and answer the whole prompt.
    bool can_answer = false;
    /// Position in the order that all hosts share.
    std::uint64_t order = 0;

    /// Time that the engine takes to read a prompt of `tokens`.
    duration estimated_prefill_time(std::int64_t tokens) const;
    /// Estimated time until the first event when `reading` is added.
    duration time_to_first_event(duration reading) const;
    /// Whether `reading` would lengthen a pass beyond what the streams there are allowed.
    bool would_delay_streams(duration reading, const interference_aware_settings& settings) const;
};

/// Tokens of an engine's memory that are given out.
double usable_memory_tokens(const engine_profile& profile,
                            const interference_aware_settings& settings);

/// Fewest engines whose memory holds a prompt of `tokens`.
std::size_t engines_needed(const engine_profile& profile, std::int64_t tokens,
                           const interference_aware_settings& settings);

/// `value` times `factor`.
duration scaled(duration value, double factor);

/// Spreads hosts that decide at the same moment over engines that look alike.
std::uint64_t spread_hash(const placement_request& request, const engine_view& engine);

}  // namespace fuchsiaquay
