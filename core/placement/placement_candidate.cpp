#include "core/placement/placement_candidate.hpp"

#include <algorithm>
#include <cmath>

#include "core/fleet/engine_profile.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"
#include "core/placement/undisturbed_settings.hpp"

namespace fuchsiaquay {

duration placement_candidate::read(std::int64_t tokens) const {
    return scaled(read_time(*engine->profile, tokens), engine->pace);
}

duration placement_candidate::first_event(duration reading) const {
    // What is added takes part from the pass after the current one on.
    return pass / 2 + pending + reading + pass;
}

bool placement_candidate::disturbed_by(duration reading,
                                       const undisturbed_settings& settings) const {
    const duration usual = scaled(pending + reading, 1.0 / engine->pace);
    const duration longer =
        pass + scaled(read_share_of_pass(*engine->profile, usual), engine->pace);
    return requests > 0 && longer > scaled(smallest_gap, settings.pause_fill);
}

double usable_tokens(const engine_profile& profile, const undisturbed_settings& settings) {
    return settings.memory_fill * static_cast<double>(profile.memory_tokens);
}

std::size_t engines_needed(const engine_profile& profile, std::int64_t tokens,
                           const undisturbed_settings& settings) {
    const double room = usable_tokens(profile, settings);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(static_cast<double>(tokens) / room)));
}

duration scaled(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

std::uint64_t spread_order(const placement_request& request, const engine_view& engine) {
    return stable_hash(engine.id, request.key);
}

}  // namespace fuchsiaquay
