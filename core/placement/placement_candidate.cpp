#include "core/placement/placement_candidate.hpp"

#include <algorithm>
#include <cmath>

#include "core/fleet/engine_profile.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

duration placement_candidate::estimated_prefill_time(std::int64_t tokens) const {
    return scaled(prefill_time(*engine->profile, tokens), engine->slowdown);
}

duration placement_candidate::time_to_first_event(duration prefill) const {
    // The added prompt is processed from the pass after the current one.
    return pass / 2 + pending_prefill + prefill + pass;
}

bool placement_candidate::would_delay_streams(duration prefill,
                                              const interference_aware_settings& settings) const {
    const duration unscaled_prefill = scaled(pending_prefill + prefill, 1.0 / engine->slowdown);
    const duration lengthened_pass =
        pass + scaled(prefill_time_in_pass(*engine->profile, unscaled_prefill), engine->slowdown);
    return requests > 0 && lengthened_pass > scaled(min_target_gap, settings.gap_utilization);
}

bool placement_candidate::would_delay_prompt(duration prefill,
                                             const interference_aware_settings& settings) const {
    return reads_long_prompt && prefill > settings.max_idle_prefill;
}

double usable_memory_tokens(const engine_profile& profile,
                            const interference_aware_settings& settings) {
    return settings.memory_utilization * static_cast<double>(profile.memory_tokens);
}

std::size_t engines_needed(const engine_profile& profile, std::int64_t tokens,
                           const interference_aware_settings& settings) {
    const double usable = usable_memory_tokens(profile, settings);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(static_cast<double>(tokens) / usable)));
}

duration scaled(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

std::uint64_t spread_hash(const placement_request& request, const engine_view& engine) {
    return stable_hash(engine.id, request.key);
}

}  // namespace fuchsiaquay
