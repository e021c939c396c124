#include "core/placement/undisturbed_placement.hpp"

#include <algorithm>
#include <cstdint>

#include "core/fleet/engine_profile.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

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

undisturbed_placement::undisturbed_placement(undisturbed_settings settings)
    : settings_(settings) {}

std::vector<undisturbed_placement::candidate> undisturbed_placement::candidates(
    const placement_request& request, const std::vector<engine_view>& engines,
    instant now) const {
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
        item.can_answer =
            item.requests < engine.profile->slots &&
            load.memory_tokens() + request.prompt_tokens + request.answer_tokens <= room;
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
    const candidate* best = nullptr;
    std::size_t position = 0;
    for (const candidate& item : choice) {
        ++position;
        if (!acceptable(item, request)) {
            continue;
        }
        if (best == nullptr || item.requests < best->requests ||
            (item.requests == best->requests &&
             order_of(request, item.engine->id) < order_of(request, best->engine->id))) {
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
    const candidate* best = nullptr;
    for (auto item = choice.rbegin(); item != choice.rend(); ++item) {
        if (!acceptable(*item, request)) {
            continue;
        }
        const bool better =
            best == nullptr || item->pending < best->pending ||
            (item->pending == best->pending && item->requests < best->requests);
        best = better ? &*item : best;
    }
    return best;
}

std::optional<placement_decision> undisturbed_placement::place_whole(
    const placement_request& request, const std::vector<candidate>& choice) const {
    if (choice.empty()) {
        return std::nullopt;
    }
    const engine_profile& profile = *choice.front().engine->profile;
    const duration reading = read_time(profile, request.prompt_tokens);
    const candidate* best = reading <= settings_.short_read ? best_for_short(request, choice)
                                                            : best_for_long(request, choice);
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
            result.helpers.push_back(helper->engine->id);
        }
        result.first_event = slowest;
        result.reason = "split";
        return result;
    }
    return std::nullopt;
}

placement_decision undisturbed_placement::place_late(const placement_request& request,
                                                     const std::vector<candidate>& choice) const {
    placement_decision result;
    const candidate* best = nullptr;
    duration best_first = duration::max();
    for (const candidate& item : choice) {
        const duration reading = read_time(*item.engine->profile, request.prompt_tokens);
        const duration first = first_event_after(item.pass, item.pending, reading);
        if (!item.can_answer || first >= best_first || disturbs(item, request, reading)) {
            continue;
        }
        best = &item;
        best_first = first;
    }
    if (best == nullptr || best_first > request.time_left) {
        result.reason = best == nullptr ? "no engine without harm" : "time too short";
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
    const std::vector<candidate> choice = candidates(request, engines, now);
    if (const auto whole = place_whole(request, choice)) {
        return *whole;
    }
    if (const auto split = place_split(request, choice)) {
        return *split;
    }
    return place_late(request, choice);
}

}  // namespace fuchsiaquay
