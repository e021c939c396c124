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
    record& entry = engines_[engine];
    if (entry.pass_ratio > 0.0 && now - entry.pass_at < same_pass_window) {
        entry.pass_ratio = std::min(entry.pass_ratio, ratio);
        return false;
    }
    const bool consecutive = entry.pass_ratio > 0.0 && now - entry.pass_at < max_pass_interval;
    const bool changed = consecutive ? end_pass(entry, now) : false;
    if (!consecutive) {
        entry.slow_passes = 0;
        entry.normal_passes = 0;
    }
    entry.pass_ratio = ratio;
    entry.pass_at = now;
    return changed;
}

bool engine_slowdown_tracker::end_pass(record& entry, instant now) {
    if (entry.pass_ratio < slow_ratio) {
        entry.slow_passes = 0;
        if (++entry.normal_passes < required_passes) {
            return false;
        }
        entry.hold = duration::zero();
        const bool was_slow = now < entry.slow_until;
        entry.slow_until = now;
        entry.remote_until = now;
        return was_slow;
    }
    entry.normal_passes = 0;
    entry.slowdown =
        entry.slow_passes == 0 ? entry.pass_ratio : std::min(entry.slowdown, entry.pass_ratio);
    if (++entry.slow_passes < required_passes) {
        return false;
    }
    const bool was_slow = now < entry.slow_until;
    if (!was_slow) {
        entry.hold =
            entry.hold == duration::zero() ? initial_hold : std::min(entry.hold * 2, max_hold);
    }
    entry.slow_until = now + entry.hold;
    return !was_slow;
}

void engine_slowdown_tracker::observe_remote(const slow_engine& engine, instant now) {
    record& entry = engines_[engine.id];
    const bool observed_normal =
        entry.normal_passes >= required_passes && now - entry.pass_at < remote_lifetime;
    if (!observed_normal) {
        entry.remote_slowdown = engine.slowdown;
        entry.remote_until = now + remote_lifetime;
    }
}

std::vector<slow_engine> engine_slowdown_tracker::observed(instant now) const {
    std::vector<slow_engine> result;
    for (const auto& [id, entry] : engines_) {
        if (now < entry.slow_until) {
            result.push_back({id, entry.slowdown});
        }
    }
    return result;
}

double engine_slowdown_tracker::slowdown_of(const std::string& engine, instant now) const {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return 1.0;
    }
    const record& entry = found->second;
    if (now < entry.slow_until) {
        return entry.slowdown;
    }
    return now < entry.remote_until ? entry.remote_slowdown : 1.0;
}

}  // namespace fuchsiaquay
