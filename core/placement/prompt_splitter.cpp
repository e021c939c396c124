#include "core/placement/prompt_splitter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

std::optional<placement_decision> prompt_splitter::split(
    const placement_request& request, std::vector<placement_candidate> candidates) const {
    std::sort(candidates.begin(), candidates.end(),
              [&request](const placement_candidate& a, const placement_candidate& b) {
                  if (a.pending_prefill != b.pending_prefill) {
                      return a.pending_prefill < b.pending_prefill;
                  }
                  if (a.min_target_gap != b.min_target_gap) {
                      return a.min_target_gap > b.min_target_gap;
                  }
                  return spread_hash(request, *a.engine) < spread_hash(request, *b.engine);
              });
    const duration target = scaled(request.first_event_time_left, settings_.target_utilization);
    // Engines process parts before everything else, which would delay prompts that are already
    // pending on the engine.
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [this](const placement_candidate& candidate) {
                                        return candidate.pending_prefill >
                                               settings_.max_idle_prefill;
                                    }),
                     candidates.end());
    const auto max_parts =
        std::min(candidates.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    for (std::size_t parts = 2; parts <= max_parts; ++parts) {
        std::vector<const placement_candidate*> helpers;
        const placement_candidate* answering = nullptr;
        duration slowest{};
        for (const placement_candidate& candidate : candidates) {
            const duration part_prefill = candidate.estimated_prefill_time(request.prompt_tokens) /
                                          static_cast<std::int64_t>(parts);
            if (candidate.part_would_delay_others(part_prefill, settings_)) {
                continue;
            }
            if (answering == nullptr && candidate.can_answer) {
                answering = &candidate;
            } else if (helpers.size() + 1 < parts) {
                helpers.push_back(&candidate);
            } else if (answering != nullptr) {
                break;
            } else {
                continue;
            }
            slowest = std::max(slowest, candidate.time_to_first_event(part_prefill));
            if (answering != nullptr && helpers.size() + 1 == parts) {
                break;
            }
        }
        if (answering == nullptr || helpers.size() + 1 < parts || slowest > target) {
            continue;
        }
        placement_decision result;
        result.outcome = placement_decision::verdict::place;
        result.engine = answering->engine->id;
        for (const placement_candidate* helper : helpers) {
            result.helpers.push_back({helper->engine->id, 0});
        }
        result.time_to_first_event = slowest;
        result.reason = "split";
        return result;
    }
    return std::nullopt;
}

std::optional<placement_decision> prompt_splitter::spread(
    const placement_request& request, const std::vector<placement_candidate>& idle) const {
    if (idle.size() < 2) {
        return std::nullopt;
    }
    const engine_profile& profile = *idle.front().engine->profile;
    const double prefill = to_seconds(prefill_time(profile, request.prompt_tokens));
    const double pass = to_seconds(decode_pass_time(profile, 1, 0));
    // Engine n + 1 saves about prefill / n^2, which is a pass for n = sqrt(prefill / pass).
    // The engine that answers lists a reservation of its own like those of the helpers.
    const int max_parts =
        idle.front().can_answer ? settings_.max_helpers + 1 : settings_.max_helpers;
    const auto parts = std::min({idle.size(), static_cast<std::size_t>(max_parts),
                                 static_cast<std::size_t>(std::sqrt(prefill / pass))});
    if (parts < 2) {
        return std::nullopt;
    }
    const std::vector<placement_candidate> members(
        idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(parts));
    std::int64_t memory = 0;
    duration time_to_first_event{};
    for (const placement_candidate& member : members) {
        const duration part =
            member.estimated_prefill_time(request.prompt_tokens) / static_cast<std::int64_t>(parts);
        time_to_first_event = std::max(time_to_first_event, member.time_to_first_event(part));
        memory += member.free_memory_tokens;
    }
    if (!members.front().can_answer) {
        const bool fits = memory >= request.prompt_tokens + request.answer_tokens;
        return fits ? std::optional(make_group(request, members, time_to_first_event))
                    : std::nullopt;
    }
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.engine = members.front().engine->id;
    for (std::size_t index = 1; index < parts; ++index) {
        result.helpers.push_back({members[index].engine->id, 0});
    }
    result.time_to_first_event = time_to_first_event;
    result.reason = "spread";
    return result;
}

placement_decision prompt_splitter::form_group(const placement_request& request,
                                               std::vector<placement_candidate> candidates) const {
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&](const placement_candidate& candidate) {
                                        return candidate.free_memory_tokens <
                                                   settings_.min_group_memory_tokens ||
                                               candidate.min_target_gap < request.target_gap ||
                                               candidate.pending_prefill >
                                                   settings_.max_idle_prefill;
                                    }),
                     candidates.end());
    std::sort(candidates.begin(), candidates.end(),
              [](const placement_candidate& a, const placement_candidate& b) {
                  return a.pending_prefill != b.pending_prefill
                             ? a.pending_prefill < b.pending_prefill
                             : a.free_memory_tokens > b.free_memory_tokens;
              });
    return smallest_group(request, candidates);
}

std::vector<placement_candidate> prompt_splitter::group_members(
    const placement_request& request, const std::vector<placement_candidate>& candidates,
    std::size_t parts, duration part_prefill) const {
    std::vector<placement_candidate> members;
    bool has_answering_engine = false;
    for (const placement_candidate& candidate : candidates) {
        const bool idle = candidate.requests == 0;
        if (candidate.would_delay_prompt(part_prefill, settings_) ||
            (!idle && candidate.would_delay_streams(part_prefill, settings_))) {
            continue;
        }
        const bool can_generate =
            candidate.has_slot && candidate.free_memory_tokens > request.answer_tokens;
        // The last part is reserved for an engine that can generate the answer.
        if (!has_answering_engine && !can_generate && members.size() + 1 == parts) {
            continue;
        }
        if (can_generate && !has_answering_engine) {
            members.insert(members.begin(), candidate);
            has_answering_engine = true;
        } else {
            members.push_back(candidate);
        }
        if (members.size() == parts) {
            break;
        }
    }
    return members.size() == parts && has_answering_engine ? members
                                                           : std::vector<placement_candidate>();
}

placement_decision prompt_splitter::smallest_group(
    const placement_request& request, const std::vector<placement_candidate>& candidates) const {
    placement_decision result;
    result.reason = "no memory for a group";
    if (candidates.empty()) {
        return result;
    }
    const duration full_prefill =
        prefill_time(*candidates.front().engine->profile, request.prompt_tokens);
    const duration target = scaled(request.first_event_time_left, settings_.target_utilization);
    // The engine that answers lists a reservation of its own like those of the helpers.
    const auto max_parts =
        std::min(candidates.size(), static_cast<std::size_t>(settings_.max_helpers));
    std::vector<placement_candidate> best;
    duration earliest_first_event = request.time_left;
    for (std::size_t parts = 1; parts <= max_parts; ++parts) {
        const duration part_prefill = full_prefill / static_cast<std::int64_t>(parts);
        std::vector<placement_candidate> members =
            group_members(request, candidates, parts, part_prefill);
        std::int64_t memory = 0;
        duration time_to_first_event{};
        for (const placement_candidate& candidate : members) {
            memory += candidate.free_memory_tokens;
            time_to_first_event = std::max(
                time_to_first_event,
                candidate.time_to_first_event(scaled(part_prefill, candidate.engine->slowdown)));
        }
        if (memory < request.prompt_tokens + request.answer_tokens ||
            time_to_first_event >= earliest_first_event) {
            continue;
        }
        best = std::move(members);
        earliest_first_event = time_to_first_event;
        if (time_to_first_event <= target) {
            break;
        }
    }
    return best.empty() ? result : make_group(request, best, earliest_first_event);
}

placement_decision prompt_splitter::make_group(const placement_request& request,
                                               const std::vector<placement_candidate>& members,
                                               duration time_to_first_event) const {
    std::int64_t memory = 0;
    for (const placement_candidate& candidate : members) {
        memory += candidate.free_memory_tokens;
    }
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.reason = "group";
    result.engine = members.front().engine->id;
    result.time_to_first_event = time_to_first_event;
    std::int64_t remaining_tokens = request.prompt_tokens;
    for (const placement_candidate& candidate : members) {
        // Each member keeps a share in proportion to its free memory. The last one keeps the rest.
        const double share =
            static_cast<double>(candidate.free_memory_tokens) / static_cast<double>(memory);
        const auto wanted =
            static_cast<std::int64_t>(share * static_cast<double>(request.prompt_tokens)) + 1;
        const std::int64_t tokens =
            &candidate == &members.back() ? remaining_tokens : std::min(wanted, remaining_tokens);
        remaining_tokens -= tokens;
        if (&candidate == &members.front()) {
            result.reserved_tokens = tokens;
        } else {
            result.helpers.push_back({candidate.engine->id, tokens});
        }
    }
    return result;
}

}  // namespace fuchsiaquay
