#include "core/limits/share_ledger.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaquay {
namespace {

/// A host that was silent for longer wants nothing new, but its share counts on.
constexpr duration active_time = std::chrono::seconds(9);

}  // namespace

double share_ledger::grant(const claim& stated, double ceiling, bool moving, instant now) {
    expire(now);
    holder& own = holders_[stated.host];
    own.wanted = stated.wanted;
    own.heard = now;
    own.counted = 0.0;
    const double free = std::max(0.0, ceiling - granted());
    const double target = moving ? fair_share(stated.host, ceiling, now) : stated.held;
    const double share = std::min(target, free);
    own.counted = std::max(share, stated.held);
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
        it = now - it->second.heard > hold_ ? holders_.erase(it) : std::next(it);
    }
}

double share_ledger::fair_share(const host_id& host, double ceiling, instant now) const {
    std::vector<std::pair<double, host_id>> demands;
    double left = ceiling;
    for (const auto& [name, entry] : holders_) {
        if (now - entry.heard <= active_time) {
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
