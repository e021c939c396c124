#include "core/placement/interference_aware_placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

/// Steps of a hash that is taken as a number between 0 and 1.
constexpr std::uint64_t resolution = 1'000'000;

/// Orders the engines after the `shared` ones for a short prompt. One short stream on an engine
/// keeps long prompts off it: what the shared engines do not take joins other short streams before
/// it takes an engine of its own.
void keep_together(const placement_request& request, std::vector<placement_candidate>& choice,
                   std::size_t shared) {
    std::stable_partition(choice.begin() + static_cast<std::ptrdiff_t>(shared), choice.end(),
                          [&request](const placement_candidate& item) {
                              return item.requests > 0 && item.min_target_gap <= request.target_gap;
                          });
}

placement_decision place_whole(const placement_request& request, const placement_candidate& at) {
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.engine = at.engine->id;
    result.time_to_first_event =
        at.time_to_first_event(at.estimated_prefill_time(request.prompt_tokens));
    result.reason = "whole";
    return result;
}

}  // namespace

interference_aware_placement::interference_aware_placement(interference_aware_settings settings)
    : settings_(settings), splitting_(settings), forecast_(settings) {}

std::vector<placement_candidate> interference_aware_placement::candidates(
    const placement_request& request, const std::vector<engine_view>& engines, instant now) const {
    std::vector<placement_candidate> result;
    for (const engine_view& engine : engines) {
        if (engine.id == request.excluded_engine) {
            continue;
        }
        const engine_load& load = *engine.load;
        placement_candidate item;
        item.engine = &engine;
        item.requests = load.requests();
        item.pass = scaled(decode_pass_time(*engine.profile, load.decoding_requests(),
                                            load.decoding_context_tokens()),
                           engine.slowdown);
        item.pending_prefill = scaled(load.pending_prefill(now), engine.slowdown);
        item.min_target_gap = load.min_target_gap();
        const auto room =
            static_cast<std::int64_t>(usable_memory_tokens(*engine.profile, settings_));
        item.free_memory_tokens = room - load.memory_tokens();
        item.has_slot = item.requests < engine.profile->slots;
        item.can_answer = item.has_slot &&
                          request.prompt_tokens + request.answer_tokens <= item.free_memory_tokens;
        item.order = stable_hash(engine.id);
        result.push_back(item);
    }
    std::sort(result.begin(), result.end(),
              [](const placement_candidate& a, const placement_candidate& b) {
                  return a.order < b.order;
              });
    return result;
}

std::size_t interference_aware_placement::engines_for_short(
    const placement_request& request, const std::vector<placement_candidate>& choice) const {
    if (!request.remote_loads_known) {
        return choice.size();
    }
    double needed = 0.0;
    for (const placement_candidate& item : choice) {
        if (item.min_target_gap <= request.target_gap) {
            needed += item.requests / (settings_.slot_utilization * item.engine->profile->slots);
        }
    }
    return std::min(static_cast<std::size_t>(needed) + 1, choice.size());
}

bool interference_aware_placement::acceptable(const placement_candidate& at,
                                              const placement_request& request, double fill) const {
    const duration reading = at.estimated_prefill_time(request.prompt_tokens);
    const duration first = at.time_to_first_event(reading);
    return at.can_answer && first <= scaled(request.first_event_time_left, fill) &&
           !at.would_delay_streams(reading, settings_);
}

bool interference_aware_placement::too_large_for(
    const placement_request& request, const std::vector<placement_candidate>& shared) const {
    return std::all_of(shared.begin(), shared.end(), [&](placement_candidate item) {
        item.pending_prefill = {};
        return item.would_delay_streams(item.estimated_prefill_time(request.prompt_tokens),
                                        settings_);
    });
}

const placement_candidate* interference_aware_placement::best_shared(
    const placement_request& request, const std::vector<placement_candidate>& shared,
    double fill) const {
    // Hosts that decide at the same moment see the same loads: weighted rendezvous hashing keeps
    // them from taking the same engine.
    const auto place = [this, &request](const placement_candidate& item) {
        const double room =
            settings_.slot_utilization * item.engine->profile->slots - item.requests;
        const auto point = static_cast<double>(spread_hash(request, *item.engine) % resolution + 1);
        return -std::log(point / static_cast<double>(resolution + 1)) / std::max(room, 1.0);
    };
    const placement_candidate* best = nullptr;
    for (const placement_candidate& item : shared) {
        if (acceptable(item, request, fill) && (best == nullptr || place(item) < place(*best))) {
            best = &item;
        }
    }
    return best;
}

const placement_candidate* interference_aware_placement::first_for_short(
    const placement_request& request, const std::vector<placement_candidate>& choice,
    double fill) const {
    const auto found = std::find_if(
        choice.begin(), choice.end(),
        [&](const placement_candidate& item) { return acceptable(item, request, fill); });
    return found == choice.end() ? nullptr : &*found;
}

const placement_candidate* interference_aware_placement::best_for_long(
    const placement_request& request, const std::vector<placement_candidate>& choice) const {
    // An engine that streams already is preferred where that disturbs nobody: idle ones are for
    // prompts that disturb everybody.
    const auto place = [&request](const placement_candidate& item) {
        return std::make_tuple(item.requests == 0, item.pending_prefill, item.requests,
                               spread_hash(request, *item.engine));
    };
    const placement_candidate* best = nullptr;
    for (const placement_candidate& item : choice) {
        if (acceptable(item, request, settings_.target_utilization) &&
            (best == nullptr || place(item) < place(*best))) {
            best = &item;
        }
    }
    return best;
}

void interference_aware_placement::leave_to_others(const placement_request& request,
                                                   std::vector<placement_candidate>& choice) const {
    std::size_t left = 0;
    for (const std::int64_t tokens : request.tokens_ahead) {
        left += engines_needed(*choice.front().engine->profile, tokens, settings_);
    }
    for (; left > 0 && !choice.empty(); --left) {
        const auto first =
            std::min_element(choice.begin(), choice.end(),
                             [](const placement_candidate& a, const placement_candidate& b) {
                                 return std::make_tuple(a.requests, a.pending_prefill, a.order) <
                                        std::make_tuple(b.requests, b.pending_prefill, b.order);
                             });
        choice.erase(first);
    }
}

bool interference_aware_placement::exceeds_one_engine(const placement_request& request,
                                                      const engine_profile& profile) const {
    return static_cast<double>(request.prompt_tokens + request.answer_tokens) >
           usable_memory_tokens(profile, settings_);
}

bool interference_aware_placement::exceeds_all_memory(
    const placement_request& request, const std::vector<placement_candidate>& engines) const {
    std::int64_t all = 0;
    for (const placement_candidate& item : engines) {
        all += item.engine->profile->memory_tokens;
    }
    return request.prompt_tokens + request.answer_tokens > all;
}

placement_decision interference_aware_placement::place_late(
    const placement_request& request, const std::vector<placement_candidate>& choice,
    duration most_pending, std::size_t shared) const {
    placement_decision result;
    result.reason = "no engine without harm";
    const placement_candidate* best = nullptr;
    duration best_first = duration::max();
    std::size_t position = 0;
    for (const placement_candidate& item : choice) {
        if (item.pending_prefill > most_pending) {
            continue;
        }
        if (best != nullptr && position >= shared) {
            break;
        }
        ++position;
        const duration reading = item.estimated_prefill_time(request.prompt_tokens);
        const duration first = item.time_to_first_event(reading);
        if (!item.can_answer || first >= best_first ||
            item.would_delay_streams(reading, settings_)) {
            continue;
        }
        best = &item;
        best_first = first;
    }
    if (best == nullptr || best_first > std::min(request.time_left, request.abandon_time_left)) {
        result.reason = best == nullptr ? result.reason : "time too short";
        return result;
    }
    result = place_whole(request, *best);
    result.reason = "late";
    return result;
}

placement_decision interference_aware_placement::place_short(
    const placement_request& request, std::vector<placement_candidate> choice) const {
    const std::size_t shared = engines_for_short(request, choice);
    keep_together(request, choice, shared);
    const std::vector<placement_candidate> pool(
        choice.begin(), choice.begin() + static_cast<std::ptrdiff_t>(shared));
    const double comfortable = settings_.preferred_target_utilization;
    if (const placement_candidate* best = best_shared(request, pool, comfortable)) {
        return place_whole(request, *best);
    }
    const bool too_large = too_large_for(request, pool);
    if (!too_large) {
        if (const placement_candidate* first = first_for_short(request, choice, comfortable)) {
            return place_whole(request, *first);
        }
    }
    if (const placement_candidate* best =
            best_shared(request, pool, settings_.target_utilization)) {
        return place_whole(request, *best);
    }
    if (too_large) {
        if (const auto split = splitting_.split(request, pool)) {
            return *split;
        }
    }
    if (const placement_candidate* first =
            first_for_short(request, choice, settings_.target_utilization)) {
        return place_whole(request, *first);
    }
    if (const auto split = splitting_.split(request, choice)) {
        return *split;
    }
    // A short prompt that is late already gains nothing from an engine of its own.
    return place_late(request, choice, duration::max(), shared);
}

placement_decision interference_aware_placement::place_long(
    const placement_request& request, std::vector<placement_candidate> choice) const {
    const bool group = exceeds_one_engine(request, *choice.front().engine->profile);
    leave_to_others(request, choice);
    if (group) {
        return splitting_.form_group(request, std::move(choice));
    }
    if (const placement_candidate* best = best_for_long(request, choice)) {
        return place_whole(request, *best);
    }
    if (const auto split = splitting_.split(request, choice)) {
        return *split;
    }
    return place_late(request, choice, settings_.max_idle_prefill, choice.size());
}

placement_decision interference_aware_placement::wait_or_refuse(
    const placement_request& request, const std::vector<placement_candidate>& engines,
    placement_decision found) const {
    if (exceeds_all_memory(request, engines)) {
        found.outcome = placement_decision::verdict::refuse;
        found.reason = "larger than the memory of all engines";
        return found;
    }
    const auto prediction = forecast_.predict(request, engines);
    if (!prediction) {
        return found;
    }
    found.time_to_first_event = prediction->time_to_first_event;
    found.retry_after = prediction->start;
    if (prefill_time(*engines.front().engine->profile, request.prompt_tokens) >
        very_long_prefill_threshold) {
        // The forecast does not know of those that come later and go first.
        found.max_wait = prediction->start + settings_.forecast_margin;
    }
    found.answer_expected = prediction->complete <= request.time_left;
    if (!found.answer_expected) {
        found.outcome = placement_decision::verdict::refuse;
        found.reason = "no engine in its time";
    }
    return found;
}

placement_decision interference_aware_placement::choose(const placement_request& request,
                                                        const std::vector<engine_view>& engines,
                                                        instant now) const {
    const std::vector<placement_candidate> all = candidates(request, engines, now);
    if (all.empty()) {
        placement_decision none;
        none.reason = "no engine accepts work";
        return none;
    }
    const duration reading = prefill_time(*all.front().engine->profile, request.prompt_tokens);
    if (reading <= long_prefill_threshold) {
        return place_short(request, all);
    }
    placement_decision found = place_long(request, all);
    found.prompts_ahead = request.tokens_ahead.size();
    return found.outcome == placement_decision::verdict::wait
               ? wait_or_refuse(request, all, std::move(found))
               : found;
}

}  // namespace fuchsiaquay
