#include "core/placement/engine_room.hpp"

#include <algorithm>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_candidate.hpp"

namespace fuchsiaquay {

namespace {

/// Prompts whose prefill takes more than this fraction of the target are split over engines.
constexpr double max_prefill_fraction = 0.5;
/// Time within which hosts hear of each other's work and try waiting prompts again.
constexpr duration unheard_time = std::chrono::milliseconds(50);
/// Greatest fraction of the engines that is kept for prompts within this time.
constexpr double max_reserve = 0.125;

bool has_room(const engine_view& engine, duration target, duration prefill, instant now) {
    const interference_aware_settings settings;
    placement_candidate candidate;
    candidate.engine = &engine;
    candidate.requests = engine.load->requests();
    if (candidate.requests >= engine.profile->slots) {
        return false;
    }
    candidate.pass = scaled(decode_pass_time(*engine.profile, engine.load->decoding_requests(),
                                             engine.load->decoding_context_tokens()),
                            engine.slowdown);
    candidate.pending_prefill = scaled(engine.load->pending_prefill(now), engine.slowdown);
    candidate.min_target_gap = engine.load->min_target_gap();
    return candidate.time_to_first_event(prefill) <= target &&
           !candidate.would_delay_streams(prefill, settings);
}

}  // namespace

bool engines_short(const std::vector<engine_view>& engines, duration target, duration usual_prefill,
                   double prompts_per_s, instant now) {
    const duration prefill = std::min(usual_prefill, scaled(target, max_prefill_fraction));
    const auto with_room =
        std::count_if(engines.begin(), engines.end(), [&](const engine_view& engine) {
            return has_room(engine, target, scaled(prefill, engine.slowdown), now);
        });
    const double reserve = std::min(prompts_per_s * to_seconds(unheard_time),
                                    max_reserve * static_cast<double>(engines.size()));
    return static_cast<double>(with_room) < std::max(reserve, 1.0);
}

}  // namespace fuchsiaquay
