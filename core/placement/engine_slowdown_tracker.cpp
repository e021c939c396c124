#include "core/placement/engine_slowdown_tracker.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Ratio from which a pass counts as slow. Prefill of other prompts can cause smaller ratios.
constexpr double slow_ratio = 2.5;
/// Consecutive slow passes after which an engine counts as slow, and consecutive normal passes
/// after which it counts as recovered.
constexpr int required_passes = 3;
/// Events of several streams within this time belong to the same pass. The shortest pass of the
/// users' engines takes 43 ms.
constexpr duration same_pass_window = std::chrono::milliseconds(25);
/// Passes that are further apart than this are not consecutive.
constexpr duration max_pass_interval = std::chrono::seconds(4);
/// Initial and maximum time for which an engine counts as slow after its last slow pass.
constexpr duration initial_hold = std::chrono::seconds(2);
constexpr duration max_hold = std::chrono::seconds(8);
/// Lifetime of an observation of another host. Hosts repeat their observations every second.
constexpr duration remote_lifetime = std::chrono::milliseconds(1'500);

}  // namespace

bool engine_slowdown_tracker::observe(const std::string& engine, double ratio, instant now) {
    record& item = engines_[engine];
    if (item.pass_ratio > 0.0 && now - item.pass_at < same_pass_window) {
        item.pass_ratio = std::min(item.pass_ratio, ratio);
        return false;
    }
    const bool consecutive = item.pass_ratio > 0.0 && now - item.pass_at < max_pass_interval;
    const bool changed = consecutive ? end_pass(item, now) : false;
    if (!consecutive) {
        item.slow_passes = 0;
        item.normal_passes = 0;
    }
    item.pass_ratio = ratio;
    item.pass_at = now;
    return changed;
}

bool engine_slowdown_tracker::end_pass(record& item, instant now) {
    if (item.pass_ratio < slow_ratio) {
        item.slow_passes = 0;
        if (++item.normal_passes < required_passes) {
            return false;
        }
        item.hold = duration::zero();
        const bool was_slow = now < item.slow_until;
        item.slow_until = now;
        item.remote_until = now;
        return was_slow;
    }
    item.normal_passes = 0;
    item.slowdown =
        item.slow_passes == 0 ? item.pass_ratio : std::min(item.slowdown, item.pass_ratio);
    if (++item.slow_passes < required_passes) {
        return false;
    }
    const bool was_slow = now < item.slow_until;
    if (!was_slow) {
        item.hold =
            item.hold == duration::zero() ? initial_hold : std::min(item.hold * 2, max_hold);
    }
    item.slow_until = now + item.hold;
    return !was_slow;
}

void engine_slowdown_tracker::learn(const slow_engine& engine, instant now) {
    record& item = engines_[engine.id];
    const bool observed_normal =
        item.normal_passes >= required_passes && now - item.pass_at < remote_lifetime;
    if (!observed_normal) {
        item.remote_slowdown = engine.slowdown;
        item.remote_until = now + remote_lifetime;
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
    return now < item.remote_until ? item.remote_slowdown : 1.0;
}

}  // namespace fuchsiaquay
