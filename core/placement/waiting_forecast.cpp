#include "core/placement/waiting_forecast.hpp"

#include <algorithm>
#include <cmath>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

/// Time that an answer of usual length takes.
duration answer_time(const engine_profile& profile) {
    return decode_pass_time(profile, 1, 0) * profile.usual_answer_tokens / profile.steps_per_pass;
}

/// Lets a prompt read and answer on the `parts` engines that come free first.
void occupy(std::vector<duration>& free, std::size_t parts, duration reading, duration answering) {
    if (parts > free.size()) {
        return;
    }
    const duration done = free[parts - 1] + reading / static_cast<std::int64_t>(parts) + answering;
    std::fill_n(free.begin(), parts, done);
    std::sort(free.begin(), free.end());
}

}  // namespace

std::vector<duration> waiting_forecast::free_times(const placement_request& request,
                                                   const std::vector<placement_candidate>& engines,
                                                   std::size_t fewest) const {
    std::vector<duration> free;
    std::vector<const placement_candidate*> shared;
    double needed = 0.0;
    for (const placement_candidate& item : engines) {
        if (item.requests > 0 && item.min_target_gap < request.target_gap) {
            shared.push_back(&item);
            needed += item.requests / (settings_.slot_utilization * item.engine->profile->slots);
            continue;
        }
        const duration answering =
            item.requests > 0 ? answer_time(*item.engine->profile) : duration::zero();
        free.push_back(item.pending_prefill + answering);
    }
    // Streams with shorter pauses keep as many engines as they fill; the others come free.
    std::sort(shared.begin(), shared.end(),
              [](const placement_candidate* a, const placement_candidate* b) {
                  return a->requests > b->requests;
              });
    auto kept = std::min(static_cast<std::size_t>(std::ceil(needed)), shared.size());
    while (kept > 0 && free.size() + shared.size() - kept < fewest) {
        --kept;
    }
    for (; kept < shared.size(); ++kept) {
        free.push_back(shared[kept]->pending_prefill + answer_time(*shared[kept]->engine->profile));
    }
    std::sort(free.begin(), free.end());
    return free;
}

std::optional<waiting_forecast::prediction> waiting_forecast::predict(
    const placement_request& request, const std::vector<placement_candidate>& engines) const {
    if (engines.empty()) {
        return std::nullopt;
    }
    const engine_profile& profile = *engines.front().engine->profile;
    const std::size_t fewest = engines_needed(profile, request.prompt_tokens, settings_);
    std::vector<duration> free = free_times(request, engines, fewest);
    const duration answering = answer_time(profile);
    for (const std::int64_t tokens : request.tokens_ahead) {
        occupy(free, engines_needed(profile, tokens, settings_), prefill_time(profile, tokens),
               answering);
    }
    const duration reading = prefill_time(profile, request.prompt_tokens);
    const auto most = std::min(free.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    std::optional<prediction> best;
    for (std::size_t parts = fewest; parts <= most; ++parts) {
        const duration start = free[parts - 1];
        const duration first = start + reading / static_cast<std::int64_t>(parts);
        if (!best || first < best->time_to_first_event) {
            best = prediction{start, first, first + answering};
        }
    }
    return best;
}

}  // namespace fuchsiaquay
