#include "core/placement/waiting_forecast.hpp"

#include <algorithm>
#include <cmath>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

/// Time to generate an answer of the usual length.
duration answer_time(const engine_profile& profile) {
    return decode_pass_time(profile, 1, 0) * profile.usual_answer_tokens / profile.steps_per_pass;
}

/// Assigns a prompt to the `parts` engines that become available first and updates their times.
void assign_prompt(std::vector<duration>& available, std::size_t parts, duration prefill,
                   duration decode) {
    if (parts > available.size()) {
        return;
    }
    const duration finished_at =
        available[parts - 1] + prefill / static_cast<std::int64_t>(parts) + decode;
    std::fill_n(available.begin(), parts, finished_at);
    std::sort(available.begin(), available.end());
}

}  // namespace

std::vector<duration> waiting_forecast::available_times(
    const placement_request& request, const std::vector<placement_candidate>& engines,
    std::size_t min_engines) const {
    std::vector<duration> available;
    std::vector<const placement_candidate*> shared;
    double engines_in_use = 0.0;
    for (const placement_candidate& candidate : engines) {
        if (candidate.requests > 0 && candidate.min_target_gap < request.target_gap) {
            shared.push_back(&candidate);
            engines_in_use += candidate.requests /
                              (settings_.slot_utilization * candidate.engine->profile->slots);
            continue;
        }
        const duration decode =
            candidate.requests > 0 ? answer_time(*candidate.engine->profile) : duration::zero();
        available.push_back(candidate.pending_prefill + decode);
    }
    // Requests with a smaller target gap keep as many engines as they need; the other engines
    // become available.
    std::sort(shared.begin(), shared.end(),
              [](const placement_candidate* a, const placement_candidate* b) {
                  return a->requests > b->requests;
              });
    auto kept = std::min(static_cast<std::size_t>(std::ceil(engines_in_use)), shared.size());
    while (kept > 0 && available.size() + shared.size() - kept < min_engines) {
        --kept;
    }
    for (; kept < shared.size(); ++kept) {
        available.push_back(shared[kept]->pending_prefill +
                            answer_time(*shared[kept]->engine->profile));
    }
    std::sort(available.begin(), available.end());
    return available;
}

std::optional<waiting_forecast::prediction> waiting_forecast::predict(
    const placement_request& request, const std::vector<placement_candidate>& engines) const {
    if (engines.empty()) {
        return std::nullopt;
    }
    const engine_profile& profile = *engines.front().engine->profile;
    const std::size_t min_engines = engines_needed(profile, request.prompt_tokens, settings_);
    std::vector<duration> available = available_times(request, engines, min_engines);
    const duration decode = answer_time(profile);
    for (const std::int64_t tokens : request.tokens_ahead) {
        assign_prompt(available, engines_needed(profile, tokens, settings_),
                      prefill_time(profile, tokens), decode);
    }
    const duration prefill = prefill_time(profile, request.prompt_tokens);
    const auto max_parts =
        std::min(available.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    std::optional<prediction> best;
    for (std::size_t parts = min_engines; parts <= max_parts; ++parts) {
        const duration start = available[parts - 1];
        const duration time_to_first_event = start + prefill / static_cast<std::int64_t>(parts);
        if (!best || time_to_first_event < best->time_to_first_event) {
            best = prediction{start, time_to_first_event, time_to_first_event + decode};
        }
    }
    return best;
}

}  // namespace fuchsiaquay
