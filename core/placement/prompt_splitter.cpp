#include "core/placement/prompt_splitter.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

std::optional<placement_decision> prompt_splitter::split(
    const placement_request& request, std::vector<placement_candidate> choice) const {
    std::sort(choice.begin(), choice.end(),
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
    // Engines read parts ahead of everything else: one that reads already would make that late.
    choice.erase(std::remove_if(choice.begin(), choice.end(),
                                [this](const placement_candidate& item) {
                                    return item.pending_prefill > settings_.max_idle_prefill;
                                }),
                 choice.end());
    const auto most = std::min(choice.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    for (std::size_t parts = 2; parts <= most; ++parts) {
        std::vector<const placement_candidate*> chosen;
        const placement_candidate* first = nullptr;
        duration slowest{};
        for (const placement_candidate& item : choice) {
            const duration part = item.estimated_prefill_time(request.prompt_tokens) /
                                  static_cast<std::int64_t>(parts);
            if (item.would_delay_streams(part, settings_)) {
                continue;
            }
            if (first == nullptr && item.can_answer) {
                first = &item;
            } else if (chosen.size() + 1 < parts) {
                chosen.push_back(&item);
            } else if (first != nullptr) {
                break;
            } else {
                continue;
            }
            slowest = std::max(slowest, item.time_to_first_event(part));
            if (first != nullptr && chosen.size() + 1 == parts) {
                break;
            }
        }
        if (first == nullptr || chosen.size() + 1 < parts || slowest > target) {
            continue;
        }
        placement_decision result;
        result.outcome = placement_decision::verdict::place;
        result.engine = first->engine->id;
        for (const placement_candidate* helper : chosen) {
            result.helpers.push_back({helper->engine->id, 0});
        }
        result.time_to_first_event = slowest;
        result.reason = "split";
        return result;
    }
    return std::nullopt;
}

placement_decision prompt_splitter::form_group(const placement_request& request,
                                               std::vector<placement_candidate> choice) const {
    choice.erase(std::remove_if(choice.begin(), choice.end(),
                                [&](const placement_candidate& item) {
                                    return item.free_memory_tokens <
                                               settings_.min_group_memory_tokens ||
                                           item.min_target_gap < request.target_gap ||
                                           item.pending_prefill > settings_.max_idle_prefill;
                                }),
                 choice.end());
    std::sort(choice.begin(), choice.end(),
              [](const placement_candidate& a, const placement_candidate& b) {
                  return a.pending_prefill != b.pending_prefill
                             ? a.pending_prefill < b.pending_prefill
                             : a.free_memory_tokens > b.free_memory_tokens;
              });
    return smallest_group(request, choice);
}

std::vector<placement_candidate> prompt_splitter::group_members(
    const placement_request& request, const std::vector<placement_candidate>& choice,
    std::size_t parts, duration part) const {
    std::vector<placement_candidate> members;
    bool answered = false;
    for (const placement_candidate& item : choice) {
        const bool idle = item.requests == 0;
        if (!idle && item.would_delay_streams(part, settings_)) {
            continue;
        }
        const bool answers = item.has_slot && item.free_memory_tokens > request.answer_tokens;
        // The last place is kept for an engine that can answer.
        if (!answered && !answers && members.size() + 1 == parts) {
            continue;
        }
        if (answers && !answered) {
            members.insert(members.begin(), item);
            answered = true;
        } else {
            members.push_back(item);
        }
        if (members.size() == parts) {
            break;
        }
    }
    return members.size() == parts && answered ? members : std::vector<placement_candidate>();
}

placement_decision prompt_splitter::smallest_group(
    const placement_request& request, const std::vector<placement_candidate>& choice) const {
    placement_decision result;
    result.reason = "no memory for a group";
    if (choice.empty()) {
        return result;
    }
    const duration whole = prefill_time(*choice.front().engine->profile, request.prompt_tokens);
    const duration target = scaled(request.first_event_time_left, settings_.target_utilization);
    const auto most = std::min(choice.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    std::vector<placement_candidate> best;
    duration best_first = request.time_left;
    for (std::size_t parts = 1; parts <= most; ++parts) {
        const duration part = whole / static_cast<std::int64_t>(parts);
        std::vector<placement_candidate> members = group_members(request, choice, parts, part);
        std::int64_t memory = 0;
        duration first{};
        for (const placement_candidate& item : members) {
            memory += item.free_memory_tokens;
            first = std::max(first, item.time_to_first_event(scaled(part, item.engine->slowdown)));
        }
        if (memory < request.prompt_tokens + request.answer_tokens || first >= best_first) {
            continue;
        }
        best = std::move(members);
        best_first = first;
        if (first <= target) {
            break;
        }
    }
    return best.empty() ? result : make_group(request, best, best_first);
}

placement_decision prompt_splitter::make_group(const placement_request& request,
                                               const std::vector<placement_candidate>& members,
                                               duration time_to_first_event) const {
    std::int64_t memory = 0;
    for (const placement_candidate& item : members) {
        memory += item.free_memory_tokens;
    }
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.reason = "group";
    result.engine = members.front().engine->id;
    result.time_to_first_event = time_to_first_event;
    std::int64_t left = request.prompt_tokens;
    for (const placement_candidate& item : members) {
        // Each member holds its share by what it has free, the last one what is left over.
        const double share =
            static_cast<double>(item.free_memory_tokens) / static_cast<double>(memory);
        const auto wanted =
            static_cast<std::int64_t>(share * static_cast<double>(request.prompt_tokens)) + 1;
        const std::int64_t tokens = &item == &members.back() ? left : std::min(wanted, left);
        left -= tokens;
        if (&item == &members.front()) {
            result.reserved_tokens = tokens;
        } else {
            result.helpers.push_back({item.engine->id, tokens});
        }
    }
    return result;
}

}  // namespace fuchsiaquay
