#include "core/placement/data_centre_preference.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

const std::string* data_centre_of(const std::vector<engine_view>& engines, const std::string& id) {
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [&id](const engine_view& engine) { return engine.id == id; });
    return found == engines.end() ? nullptr : found->data_centre;
}

/// Bytes of prompt memory that move between data centres.
std::int64_t moved_memory_bytes(const placement_decision& decision,
                                const placement_request& request,
                                const std::vector<engine_view>& engines) {
    const auto parts = static_cast<std::int64_t>(decision.helpers.size()) + 1;
    std::int64_t tokens = 0;
    const std::string* home = data_centre_of(engines, decision.engine);
    for (const placement_part& part : decision.helpers) {
        const std::string* other = data_centre_of(engines, part.engine);
        if (home != nullptr && other != nullptr && *home != *other) {
            tokens += std::max(part.reserved_tokens, request.prompt_tokens / parts);
        }
    }
    return tokens * engines.front().profile->memory_bytes_per_token;
}

}  // namespace

data_centre_preference::data_centre_preference(const placement_policy& placement,
                                               std::string data_centre,
                                               data_centre_preference_settings settings)
    : placement_(placement), data_centre_(std::move(data_centre)), settings_(settings) {}

data_centre_preference::engine_filter data_centre_preference::engines_of(
    const std::vector<engine_view>& engines, const std::string& data_centre) const {
    engine_filter result;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(result),
                 [&data_centre](const engine_view& engine) {
                     return engine.data_centre != nullptr && *engine.data_centre == data_centre;
                 });
    return result;
}

bool data_centre_preference::meets(const placement_decision& decision,
                                   const placement_request& request, double utilization) {
    return decision.outcome == placement_decision::verdict::place &&
           decision.time_to_first_event <= scaled(request.first_event_time_left, utilization);
}

placement_decision data_centre_preference::choose_elsewhere(const placement_request& request,
                                                            const std::vector<engine_view>& engines,
                                                            instant now) const {
    placement_decision any = placement_.choose(request, engines, now);
    if (moved_memory_bytes(any, request, engines) == 0) {
        return any;
    }
    std::set<std::string> others;
    for (const engine_view& engine : engines) {
        if (engine.data_centre != nullptr && *engine.data_centre != data_centre_) {
            others.insert(*engine.data_centre);
        }
    }
    for (const std::string& other : others) {
        placement_decision alone = placement_.choose(request, engines_of(engines, other), now);
        if (meets(alone, request, settings_.short_leave)) {
            return alone;
        }
    }
    return any;
}

placement_decision data_centre_preference::choose(const placement_request& request,
                                                  const std::vector<engine_view>& engines,
                                                  instant now) const {
    const engine_filter own = engines_of(engines, data_centre_);
    if (own.empty() || own.size() == engines.size()) {
        return placement_.choose(request, engines, now);
    }
    const bool is_long =
        prefill_time(*own.front().profile, request.prompt_tokens) > long_prefill_threshold;
    bool& leaves = is_long ? long_prompts_leave_ : short_prompts_leave_;
    const double leave_above = is_long ? settings_.long_leave : settings_.short_leave;
    const double return_below = is_long ? settings_.long_return : settings_.short_return;
    placement_decision home = placement_.choose(request, own, now);
    if (meets(home, request, leaves ? return_below : leave_above)) {
        leaves = false;
        return home;
    }
    placement_decision away = choose_elsewhere(request, engines, now);
    if (home.outcome != placement_decision::verdict::place) {
        leaves = away.outcome == placement_decision::verdict::place;
        return away;
    }
    if (away.outcome != placement_decision::verdict::place) {
        return home;
    }
    // Callers do not notice less than the pause that they tolerate within a stream, unless it
    // decides whether the first event is in time.
    const bool in_time_only_away =
        meets(away, request, settings_.short_leave) && !meets(home, request, settings_.short_leave);
    const duration saved = home.time_to_first_event - away.time_to_first_event;
    const bool still_leaves = leaves && saved > duration::zero();
    leaves = still_leaves || in_time_only_away || saved >= request.target_gap;
    return leaves ? away : home;
}

}  // namespace fuchsiaquay
