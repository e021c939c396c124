#include "core/placement/undisturbed_placement.hpp"

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

duration scaled(duration value, double factor) {
    return from_seconds(to_seconds(value) * factor);
}

/// Time until a pass that starts after the current one has ended, with `reading` in it.
duration first_event_after(duration pass, duration pending, duration reading) {
    return pass / 2 + pending + reading + pass;
}

/// Spreads hosts that decide at the same moment over engines that look alike.
std::uint64_t order_of(const placement_request& request, const std::string& engine) {
    return stable_hash(engine, request.key);
}

}  // namespace

undisturbed_placement::undisturbed_placement(undisturbed_settings settings) : settings_(settings) {}

std::vector<undisturbed_placement::candidate> undisturbed_placement::candidates(
    const placement_request& request, const std::vector<engine_view>& engines, instant now) const {
    std::vector<candidate> result;
    for (const engine_view& engine : engines) {
        if (engine.id == request.excluded) {
            continue;
        }
        const engine_load& load = *engine.load;
        candidate item;
        item.engine = &engine;
        item.requests = load.requests();
        item.pass = write_pass_time(*engine.profile, load.writers(), load.writer_context());
        item.pending = load.pending_read(now);
        item.smallest_gap = load.smallest_gap();
        const auto room = static_cast<std::int64_t>(
            settings_.memory_fill * static_cast<double>(engine.profile->memory_tokens));
        item.free_tokens = room - load.memory_tokens();
        item.has_slot = item.requests < engine.profile->slots;
        item.can_answer =
            item.has_slot && request.prompt_tokens + request.answer_tokens <= item.free_tokens;
        item.order = stable_hash(engine.id);
        result.push_back(item);
    }
    std::sort(result.begin(), result.end(),
              [](const candidate& a, const candidate& b) { return a.order < b.order; });
    return result;
}

bool undisturbed_placement::disturbs(const candidate& at, const placement_request& request,
                                     duration reading) const {
    const engine_profile& profile = *at.engine->profile;
    const duration pass = at.pass + read_share_of_pass(profile, at.pending + reading);
    return at.requests > 0 && pass > scaled(at.smallest_gap, settings_.pause_fill) &&
           request.target_gap > duration::zero();
}

std::size_t undisturbed_placement::engines_for_short(const placement_request& request,
                                                     const std::vector<candidate>& choice) const {
    double needed = 0.0;
    for (const candidate& item : choice) {
        if (item.smallest_gap <= request.target_gap) {
            needed += item.requests / (settings_.slot_fill * item.engine->profile->slots);
        }
    }
    return static_cast<std::size_t>(needed) + 1;
}

bool undisturbed_placement::acceptable(const candidate& at,
                                       const placement_request& request) const {
    const duration reading = read_time(*at.engine->profile, request.prompt_tokens);
    const duration first = first_event_after(at.pass, at.pending, reading);
    return at.can_answer && first <= scaled(request.target_left, settings_.target_fill) &&
           !disturbs(at, request, reading);
}

const undisturbed_placement::candidate* undisturbed_placement::best_for_short(
    const placement_request& request, const std::vector<candidate>& choice) const {
    const std::size_t shared = engines_for_short(request, choice);
    // Hosts that decide at the same moment see the same loads: weighted rendezvous hashing keeps
    // them from taking the same engine.
    const auto place = [this, &request](const candidate& item) {
        const double room = settings_.slot_fill * item.engine->profile->slots - item.requests;
        const auto point = static_cast<double>(order_of(request, item.engine->id) % resolution + 1);
        return -std::log(point / static_cast<double>(resolution + 1)) / std::max(room, 1.0);
    };
    const candidate* best = nullptr;
    std::size_t position = 0;
    for (const candidate& item : choice) {
        ++position;
        if (!acceptable(item, request)) {
            continue;
        }
        if (best == nullptr || place(item) < place(*best)) {
            best = &item;
        }
        if (position >= shared && best != nullptr) {
            break;
        }
    }
    return best;
}

const undisturbed_placement::candidate* undisturbed_placement::best_for_long(
    const placement_request& request, const std::vector<candidate>& choice) const {
    // An engine that streams already is preferred where that disturbs nobody: idle ones are for
    // prompts that disturb everybody.
    const auto place = [&request](const candidate& item) {
        return std::make_tuple(item.requests == 0, item.pending, item.requests,
                               order_of(request, item.engine->id));
    };
    const candidate* best = nullptr;
    for (const candidate& item : choice) {
        if (acceptable(item, request) && (best == nullptr || place(item) < place(*best))) {
            best = &item;
        }
    }
    return best;
}

void undisturbed_placement::leave_to_others(const placement_request& request,
                                            std::vector<candidate>& choice) const {
    for (int left = request.ahead; left > 0 && !choice.empty(); --left) {
        const auto first = std::min_element(
            choice.begin(), choice.end(), [](const candidate& a, const candidate& b) {
                return std::make_tuple(a.requests, a.pending, a.order) <
                       std::make_tuple(b.requests, b.pending, b.order);
            });
        choice.erase(first);
    }
}

std::optional<placement_decision> undisturbed_placement::place_whole(
    const placement_request& request, const std::vector<candidate>& choice) const {
    if (choice.empty()) {
        return std::nullopt;
    }
    const engine_profile& profile = *choice.front().engine->profile;
    const duration reading = read_time(profile, request.prompt_tokens);
    const candidate* best =
        reading <= long_read ? best_for_short(request, choice) : best_for_long(request, choice);
    if (best == nullptr) {
        return std::nullopt;
    }
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.engine = best->engine->id;
    result.first_event = first_event_after(best->pass, best->pending, reading);
    result.reason = "whole";
    return result;
}

std::optional<placement_decision> undisturbed_placement::place_split(
    const placement_request& request, std::vector<candidate> choice) const {
    std::sort(choice.begin(), choice.end(), [&request](const candidate& a, const candidate& b) {
        if (a.pending != b.pending) {
            return a.pending < b.pending;
        }
        if (a.smallest_gap != b.smallest_gap) {
            return a.smallest_gap > b.smallest_gap;
        }
        return order_of(request, a.engine->id) < order_of(request, b.engine->id);
    });
    const duration target = scaled(request.target_left, settings_.target_fill);
    // Engines read parts ahead of everything else: one that reads already would make that late.
    choice.erase(std::remove_if(choice.begin(), choice.end(),
                                [this](const candidate& item) {
                                    return item.pending > settings_.idle_pending;
                                }),
                 choice.end());
    const auto most = std::min(choice.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    for (std::size_t parts = 2; parts <= most; ++parts) {
        std::vector<const candidate*> chosen;
        const candidate* first = nullptr;
        duration slowest{};
        for (const candidate& item : choice) {
            const duration whole = read_time(*item.engine->profile, request.prompt_tokens);
            const duration part = whole / static_cast<std::int64_t>(parts);
            if (disturbs(item, request, part)) {
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
            slowest = std::max(slowest, first_event_after(item.pass, item.pending, part));
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
        for (const candidate* helper : chosen) {
            result.helpers.push_back({helper->engine->id, 0});
        }
        result.first_event = slowest;
        result.reason = "split";
        return result;
    }
    return std::nullopt;
}

bool undisturbed_placement::exceeds_one_engine(const placement_request& request,
                                               const std::vector<candidate>& choice) const {
    return !choice.empty() &&
           static_cast<double>(request.prompt_tokens + request.answer_tokens) >
               settings_.memory_fill *
                   static_cast<double>(choice.front().engine->profile->memory_tokens);
}

placement_decision undisturbed_placement::place_group(const placement_request& request,
                                                      std::vector<candidate> choice) const {
    placement_decision result;
    result.reason = "no memory for a group";
    const auto needed = request.prompt_tokens + request.answer_tokens;
    std::int64_t all_memory = 0;
    for (const candidate& item : choice) {
        all_memory += item.engine->profile->memory_tokens;
    }
    if (needed > all_memory) {
        result.outcome = placement_decision::verdict::refuse;
        result.reason = "larger than the memory of all engines";
        return result;
    }
    choice.erase(std::remove_if(choice.begin(), choice.end(),
                                [&](const candidate& item) {
                                    return item.free_tokens < settings_.min_group_share ||
                                           item.smallest_gap < request.target_gap ||
                                           item.pending > settings_.idle_pending;
                                }),
                 choice.end());
    std::sort(choice.begin(), choice.end(), [](const candidate& a, const candidate& b) {
        return a.pending != b.pending ? a.pending < b.pending : a.free_tokens > b.free_tokens;
    });
    return smallest_group(request, choice);
}

std::vector<undisturbed_placement::candidate> undisturbed_placement::group_members(
    const placement_request& request, const std::vector<candidate>& choice, std::size_t parts,
    duration part) const {
    std::vector<candidate> members;
    bool answered = false;
    for (const candidate& item : choice) {
        const bool idle = item.requests == 0;
        if (!idle && disturbs(item, request, part)) {
            continue;
        }
        const bool answers = item.has_slot && item.free_tokens > request.answer_tokens;
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
    return members.size() == parts && answered ? members : std::vector<candidate>();
}

placement_decision undisturbed_placement::smallest_group(
    const placement_request& request, const std::vector<candidate>& choice) const {
    placement_decision result;
    result.reason = "no memory for a group";
    if (choice.empty()) {
        return result;
    }
    const duration whole = read_time(*choice.front().engine->profile, request.prompt_tokens);
    const duration target = scaled(request.target_left, settings_.target_fill);
    const auto most = std::min(choice.size(), static_cast<std::size_t>(settings_.max_helpers) + 1);
    std::vector<candidate> best;
    duration best_first = request.time_left;
    for (std::size_t parts = 1; parts <= most; ++parts) {
        const duration part = whole / static_cast<std::int64_t>(parts);
        std::vector<candidate> members = group_members(request, choice, parts, part);
        std::int64_t memory = 0;
        duration first{};
        for (const candidate& item : members) {
            memory += item.free_tokens;
            first = std::max(first, first_event_after(item.pass, item.pending, part));
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

placement_decision undisturbed_placement::make_group(const placement_request& request,
                                                     const std::vector<candidate>& members,
                                                     duration first_event) const {
    std::int64_t memory = 0;
    for (const candidate& item : members) {
        memory += item.free_tokens;
    }
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.reason = "group";
    result.engine = members.front().engine->id;
    result.first_event = first_event;
    std::int64_t left = request.prompt_tokens;
    for (const candidate& item : members) {
        // Each member holds its share by what it has free, the last one what is left over.
        const double share = static_cast<double>(item.free_tokens) / static_cast<double>(memory);
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

placement_decision undisturbed_placement::place_late(const placement_request& request,
                                                     const std::vector<candidate>& choice) const {
    placement_decision result;
    result.reason = "no engine without harm";
    const candidate* best = nullptr;
    duration best_first = duration::max();
    for (const candidate& item : choice) {
        const duration reading = read_time(*item.engine->profile, request.prompt_tokens);
        const bool is_long = reading > long_read;
        if (is_long && item.pending > settings_.idle_pending) {
            continue;
        }
        const duration first = first_event_after(item.pass, item.pending, reading);
        if (!item.can_answer || first >= best_first || disturbs(item, request, reading)) {
            continue;
        }
        best = &item;
        best_first = first;
    }
    if (best == nullptr || best_first > request.time_left) {
        result.reason = best == nullptr ? result.reason : "time too short";
        return result;
    }
    result.outcome = placement_decision::verdict::place;
    result.engine = best->engine->id;
    result.first_event = best_first;
    result.reason = "late";
    return result;
}

placement_decision undisturbed_placement::choose(const placement_request& request,
                                                 const std::vector<engine_view>& engines,
                                                 instant now) const {
    std::vector<candidate> choice = candidates(request, engines, now);
    const bool group = exceeds_one_engine(request, choice);
    leave_to_others(request, choice);
    if (group) {
        return place_group(request, std::move(choice));
    }
    if (const auto whole = place_whole(request, choice)) {
        return *whole;
    }
    if (const auto split = place_split(request, choice)) {
        return *split;
    }
    return place_late(request, choice);
}

}  // namespace fuchsiaquay
