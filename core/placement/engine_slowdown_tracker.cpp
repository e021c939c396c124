#include "core/placement/engine_slowdown_tracker.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Ratio from which a pass counts as slow. Below it, reading of other prompts explains a pause.
constexpr double slow_ratio = 2.5;
/// Slow passes in a row that show a slow engine, and usual ones that show its recovery.
constexpr int passes_to_decide = 3;
/// Events of several streams within this time belong to one pass. Source: the shortest pass of the
/// users' engines takes 43 ms.
constexpr duration one_pass = std::chrono::milliseconds(25);
/// Passes further apart than this are not in a row.
constexpr duration memory_of_passes = std::chrono::seconds(4);
/// How long a slow engine is taken for slow after its last slow pass: at first, and at most.
constexpr duration first_hold = std::chrono::seconds(2);
constexpr duration longest_hold = std::chrono::seconds(8);
/// How long the observation of another host counts. Source: hosts repeat theirs each second.
constexpr duration learned_hold = std::chrono::milliseconds(1'500);

}  // namespace

bool engine_slowdown_tracker::observe(const std::string& engine, double ratio, instant now) {
    record& item = engines_[engine];
    if (item.pass_ratio > 0.0 && now - item.pass_at < one_pass) {
        item.pass_ratio = std::min(item.pass_ratio, ratio);
        return false;
    }
    const bool in_a_row = item.pass_ratio > 0.0 && now - item.pass_at < memory_of_passes;
    const bool changed = in_a_row ? end_pass(item, now) : false;
    if (!in_a_row) {
        item.slow_passes = 0;
        item.usual_passes = 0;
    }
    item.pass_ratio = ratio;
    item.pass_at = now;
    return changed;
}

bool engine_slowdown_tracker::end_pass(record& item, instant now) {
    if (item.pass_ratio < slow_ratio) {
        item.slow_passes = 0;
        if (++item.usual_passes < passes_to_decide) {
            return false;
        }
        item.hold = duration::zero();
        const bool was_slow = now < item.slow_until;
        item.slow_until = now;
        item.learned_until = now;
        return was_slow;
    }
    item.usual_passes = 0;
    item.slowdown =
        item.slow_passes == 0 ? item.pass_ratio : std::min(item.slowdown, item.pass_ratio);
    if (++item.slow_passes < passes_to_decide) {
        return false;
    }
    const bool was_slow = now < item.slow_until;
    if (!was_slow) {
        item.hold =
            item.hold == duration::zero() ? first_hold : std::min(item.hold * 2, longest_hold);
    }
    item.slow_until = now + item.hold;
    return !was_slow;
}

void engine_slowdown_tracker::learn(const slow_engine& engine, instant now) {
    record& item = engines_[engine.id];
    const bool seen_as_usual =
        item.usual_passes >= passes_to_decide && now - item.pass_at < learned_hold;
    if (!seen_as_usual) {
        item.learned_pace = engine.slowdown;
        item.learned_until = now + learned_hold;
    }
}

std::vector<slow_engine> engine_slowdown_tracker::observed(instant now) const {
    std::vector<slow_engine> result;
    for (const auto& [id, item] : engines_) {
        if (now < item.slow_until) {
            result.push_back({id, item.slowdown});
        }
    }
    return result;
}

double engine_slowdown_tracker::slowdown_of(const std::string& engine, instant now) const {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return 1.0;
    }
    const record& item = found->second;
    if (now < item.slow_until) {
        return item.slowdown;
    }
    return now < item.learned_until ? item.learned_pace : 1.0;
}

}  // namespace fuchsiaquay
