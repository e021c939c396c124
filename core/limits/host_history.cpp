#include "core/limits/host_history.hpp"

#include <algorithm>
#include <iterator>

#include "core/hashing/rendezvous.hpp"

namespace fuchsiaquay {
namespace {

bool contains(const std::vector<host_id>& hosts, const host_id& host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

void host_history::observe(const std::vector<host_id>& live, const std::vector<host_id>& left,
                           instant now) {
    if (!observed_) {
        observed_ = true;
        started_ = now;
    }
    for (const host_id& host : live_) {
        if (!contains(live, host)) {
            departed_[host] = departure{now, contains(left, host)};
        }
    }
    for (auto it = departed_.begin(); it != departed_.end();) {
        const bool gone = now - it->second.at > retention || contains(live, it->first);
        it = gone ? departed_.erase(it) : std::next(it);
    }
    live_ = live;
    const double fraction = present_fraction();
    if (fraction > fraction_) {
        lower_fraction_ = live_fraction(now);
        rose_at_ = now;
    }
    fraction_ = fraction;
}

double host_history::present_fraction() const {
    const auto missing = std::count_if(departed_.begin(), departed_.end(),
                                       [](const auto& entry) { return !entry.second.on_purpose; });
    const double known = static_cast<double>(live_.size()) + static_cast<double>(missing);
    return known > 0.0 ? static_cast<double>(live_.size()) / known : 1.0;
}

double host_history::live_fraction(instant now) const {
    const bool rising = now - rose_at_ < rise_delay;
    return rising ? std::min(fraction_, lower_fraction_) : fraction_;
}

bool host_history::recently_became_owner(std::string_view key, const host_id& self, duration period,
                                         instant now) const {
    if (!observed_ || now - started_ < period) {
        return true;
    }
    std::vector<host_id> candidates = live_;
    for (const auto& [host, departed] : departed_) {
        if (now - departed.at < period) {
            candidates.push_back(host);
        }
    }
    return rendezvous_owner(key, candidates) != self;
}

}  // namespace fuchsiaquay
