#include "core/placement/engine_room.hpp"

#include <algorithm>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_load.hpp"

namespace fuchsiaquay {

namespace {

/// Fraction of the target that prompts ahead may take. The rest is for the prompt itself.
constexpr double waiting_fraction = 0.5;
/// The engines are short if fewer than this fraction of them have room.
constexpr double min_engines_with_room = 0.125;

}  // namespace

bool engines_short(const std::vector<engine_view>& engines, duration target, instant now) {
    const auto with_room =
        std::count_if(engines.begin(), engines.end(), [target, now](const engine_view& engine) {
            const double pending = to_seconds(engine.load->pending_prefill(now)) * engine.slowdown;
            return engine.load->requests() < engine.profile->slots &&
                   pending <= to_seconds(target) * waiting_fraction;
        });
    return static_cast<double>(with_room) <
           min_engines_with_room * static_cast<double>(engines.size());
}

}  // namespace fuchsiaquay
