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

data_centre_preference::engine_list data_centre_preference::engines_of(
    const std::vector<engine_view>& engines, const std::string& data_centre, bool inside) {
    engine_list result;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(result),
                 [&data_centre, inside](const engine_view& engine) {
                     const bool matches =
                         engine.data_centre != nullptr && *engine.data_centre == data_centre;
                     return matches == inside;
                 });
    return result;
}

bool data_centre_preference::meets(const placement_decision& decision,
                                   const placement_request& request, double utilization) {
    return decision.outcome == placement_decision::verdict::place &&
           decision.time_to_first_event <= scaled(request.first_event_time_left, utilization);
}

placement_decision data_centre_preference::choose_anywhere(const placement_request& request,
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
        placement_decision alone =
            placement_.choose(request, engines_of(engines, other, true), now);
        if (meets(alone, request, settings_.short_leave)) {
            return alone;
        }
    }
    return any;
}

placement_decision data_centre_preference::choose_away(const placement_request& request,
                                                       const std::vector<engine_view>& engines,
                                                       const placement_decision& home,
                                                       instant now) const {
    if (home.outcome == placement_decision::verdict::place) {
        placement_decision others =
            placement_.choose(request, engines_of(engines, data_centre_, false), now);
        if (meets(others, request, settings_.short_leave) ||
            meets(home, request, settings_.short_leave)) {
            return others;
        }
    }
    return choose_anywhere(request, engines, now);
}

placement_decision data_centre_preference::choose(const placement_request& request,
                                                  const std::vector<engine_view>& engines,
                                                  instant now) const {
    const engine_list own = engines_of(engines, data_centre_, true);
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
    placement_decision away = choose_away(request, engines, home, now);
    if (away.outcome != placement_decision::verdict::place) {
        return home.outcome == placement_decision::verdict::place ? home : away;
    }
    leaves =
        home.outcome != placement_decision::verdict::place || pays(home, away, request, leaves);
    return leaves ? away : home;
}

bool data_centre_preference::pays(const placement_decision& home, const placement_decision& away,
                                  const placement_request& request, bool left_before) const {
    const duration saved = home.time_to_first_event - away.time_to_first_event;
    if (left_before) {
        return saved > duration::zero();
    }
    const bool in_time_only_away =
        meets(away, request, settings_.short_leave) && !meets(home, request, settings_.short_leave);
    // Callers do not notice less than the pause that they tolerate within a stream.
    return in_time_only_away || saved >= request.target_gap;
}

}  // namespace fuchsiaquay
