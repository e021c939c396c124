/// @file
/// The part of `interference_aware_placement` that decides while the engines have little room:
/// prompts that miss their target, and places that several hosts want at the same time.

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

/// The same engine without work.
placement_candidate without_requests(placement_candidate candidate) {
    candidate.pass = decode_pass_time(*candidate.engine->profile, 1, 0);
    candidate.pending_prefill = {};
    return candidate;
}

}  // namespace

placement_decision interference_aware_placement::place_late_short(
    const placement_request& request, std::vector<placement_candidate> candidates,
    std::size_t shared_count) const {
    if (has_idle_engine(candidates)) {
        return place_late(request, candidates, duration::max(), shared_count);
    }
    const placement_candidate empty = without_requests(candidates.front());
    const std::size_t all = candidates.size();
    const std::size_t remaining = leave_room_for_prompts_in_time(candidates, shared_count);
    placement_decision result = place_late(request, candidates, duration::max(), remaining);
    const duration first_event =
        empty.time_to_first_event(empty.estimated_prefill_time(request.prompt_tokens));
    // Streams end all the time, so that one of the engines left out soon has room again.
    result.answer_expected = candidates.size() < all &&
                             first_event <= std::min(request.time_left, request.abandon_time_left);
    return result;
}

bool interference_aware_placement::has_idle_engine(
    const std::vector<placement_candidate>& candidates) const {
    return std::any_of(candidates.begin(), candidates.end(),
                       [this](const placement_candidate& candidate) {
                           return candidate.requests == 0 &&
                                  candidate.pending_prefill <= settings_.max_idle_prefill;
                       });
}

std::size_t interference_aware_placement::leave_room_for_prompts_in_time(
    std::vector<placement_candidate>& candidates, std::size_t shared_count) const {
    const auto full = [this](const placement_candidate& candidate) {
        return candidate.requests >= settings_.slot_utilization * candidate.engine->profile->slots;
    };
    const auto shared_end = candidates.begin() + static_cast<std::ptrdiff_t>(shared_count);
    shared_count -= static_cast<std::size_t>(std::count_if(candidates.begin(), shared_end, full));
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), full), candidates.end());
    return shared_count;
}

bool interference_aware_placement::gains_by_waiting(const placement_request& request,
                                                    const std::vector<placement_candidate>& engines,
                                                    const placement_decision& decision) const {
    if (decision.time_to_first_event <= request.first_event_time_left) {
        return false;
    }
    const auto prediction = forecast_.predict(request, engines);
    return prediction && prediction->time_to_first_event <=
                             scaled(request.first_event_time_left, settings_.target_utilization);
}

placement_decision interference_aware_placement::place_late(
    const placement_request& request, const std::vector<placement_candidate>& candidates,
    duration max_pending_prefill, std::size_t shared_count) const {
    placement_decision result;
    result.reason = "no engine without delaying other requests";
    std::vector<const placement_candidate*> suitable;
    std::size_t examined = 0;
    for (const placement_candidate& candidate : candidates) {
        if (candidate.pending_prefill > max_pending_prefill) {
            continue;
        }
        if (!suitable.empty() && examined >= shared_count) {
            break;
        }
        ++examined;
        const duration prefill = candidate.estimated_prefill_time(request.prompt_tokens);
        if (candidate.can_answer && !candidate.would_delay_streams(prefill, settings_)) {
            suitable.push_back(&candidate);
        }
    }
    const placement_candidate* best = late_choice(request, suitable);
    if (best == nullptr) {
        return result;
    }
    const placement_decision placed = place_whole(request, *best);
    if (placed.time_to_first_event > std::min(request.time_left, request.abandon_time_left)) {
        result.reason = placed.time_to_first_event > request.time_left
                            ? "not enough time left"
                            : "no engine before the caller leaves";
        result.time_to_first_event = placed.time_to_first_event;
        return result;
    }
    result = placed;
    result.reason = "late";
    return result;
}

const placement_candidate* interference_aware_placement::late_choice(
    const placement_request& request,
    const std::vector<const placement_candidate*>& candidates) const {
    const auto first_event = [&request](const placement_candidate& candidate) {
        return candidate.time_to_first_event(
            candidate.estimated_prefill_time(request.prompt_tokens));
    };
    const auto earliest = std::min_element(
        candidates.begin(), candidates.end(),
        [&first_event](const placement_candidate* a, const placement_candidate* b) {
            return first_event(*a) < first_event(*b);
        });
    if (earliest == candidates.end() || request.share.hosts() <= 1) {
        return earliest == candidates.end() ? nullptr : *earliest;
    }
    const duration limit = first_event(**earliest) + (*earliest)->pass;
    const placement_candidate* best = nullptr;
    for (const placement_candidate* candidate : candidates) {
        if (first_event(*candidate) <= limit &&
            (best == nullptr ||
             spread_hash(request, *candidate->engine) < spread_hash(request, *best->engine))) {
            best = candidate;
        }
    }
    return best;
}

double interference_aware_placement::room(const placement_request& request,
                                          const std::vector<placement_candidate>& engines) const {
    const bool late = request.first_event_time_left <= duration::zero();
    const duration limit = scaled(request.first_event_time_left, settings_.target_utilization);
    double total = 0.0;
    for (const placement_candidate& engine : engines) {
        const duration prefill = engine.estimated_prefill_time(request.prompt_tokens);
        if (!engine.can_answer || engine.would_delay_streams(prefill, settings_)) {
            continue;
        }
        const duration spare = limit - engine.time_to_first_event(prefill);
        const double in_time = spare < duration::zero() || prefill <= duration::zero()
                                   ? 0.0
                                   : 1.0 + std::floor(to_seconds(spare) / to_seconds(prefill));
        const double free_slots = engine.engine->profile->slots - engine.requests;
        total += std::min(free_slots, late ? 1.0 : in_time);
    }
    return total;
}

placement_decision interference_aware_placement::within_share(
    const placement_request& request, const std::vector<placement_candidate>& engines,
    placement_decision decision) const {
    if (decision.outcome != placement_decision::verdict::place ||
        request.share.allows(room(request, engines))) {
        return decision;
    }
    placement_decision result;
    result.reason = "room is left to other hosts";
    result.share_used_up = true;
    result.time_to_first_event = decision.time_to_first_event;
    result.answer_expected = true;
    return result;
}

}  // namespace fuchsiaquay
