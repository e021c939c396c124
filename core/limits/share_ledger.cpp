#include "core/limits/share_ledger.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaquay {
namespace {

/// The demand of a host that was silent for longer is ignored, but its share still counts.
constexpr duration active_time = std::chrono::seconds(9);

}  // namespace

double share_ledger::grant(const claim& claimed, double ceiling, bool moving, instant now) {
    expire(now);
    holder& entry = holders_[claimed.host];
    entry.wanted = claimed.wanted;
    entry.last_heard = now;
    entry.counted = 0.0;
    const double free = std::max(0.0, ceiling - granted());
    const double target = moving ? fair_share(claimed.host, ceiling, now) : claimed.held;
    const double share = std::min(target, free);
    entry.counted = std::max(share, claimed.held);
    return share;
}

double share_ledger::granted() const {
    double sum = 0.0;
    for (const auto& [host, entry] : holders_) {
        sum += entry.counted;
    }
    return sum;
}

void share_ledger::expire(instant now) {
    for (auto it = holders_.begin(); it != holders_.end();) {
        it = now - it->second.last_heard > retention_ ? holders_.erase(it) : std::next(it);
    }
}

double share_ledger::fair_share(const host_id& host, double ceiling, instant now) const {
    std::vector<std::pair<double, host_id>> demands;
    double left = ceiling;
    for (const auto& [name, entry] : holders_) {
        if (now - entry.last_heard <= active_time) {
            demands.emplace_back(entry.wanted, name);
        } else {
            left -= entry.counted;
        }
    }
    left = std::max(0.0, left);
    std::sort(demands.begin(), demands.end());
    double own = 0.0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double part =
            std::min(demands[i].first, left / static_cast<double>(demands.size() - i));
        left -= part;
        own = demands[i].second == host ? part : own;
    }
    return own + left / static_cast<double>(demands.size());
}

}  // namespace fuchsiaquay
