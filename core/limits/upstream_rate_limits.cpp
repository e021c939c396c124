#include "core/limits/upstream_rate_limits.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

namespace {

/// Rate at which requests go to an upstream that names a smaller limit, or none at all. Their
/// answers show when the limit ends.
constexpr double min_rate = 0.2;
/// Unused room that is kept, so that requests need not arrive evenly.
constexpr duration burst_time = std::chrono::milliseconds(250);
/// Additional time for which a request waits for each rank above it, and its maximum.
constexpr duration rank_delay = std::chrono::milliseconds(60);
constexpr int max_delayed_ranks = 2;
/// Time for which the end of a limit is reported to other hosts.
constexpr duration lifted_report_time = std::chrono::seconds(5);

}  // namespace

bool upstream_rate_limits::on_answer(const std::string& upstream,
                                     std::optional<double> requests_per_s, instant now) {
    const auto known = records_.find(upstream);
    if (known == records_.end() && !requests_per_s) {
        return false;
    }
    record& item = records_[upstream];
    const bool changed = item.latest.requests_per_s != requests_per_s;
    item.own = {upstream, requests_per_s, now};
    if (item.next_at == instant()) {
        item.next_at = now;
    }
    adopt(item, item.own);
    if (changed && changed_) {
        changed_();
    }
    return changed;
}

void upstream_rate_limits::adopt(record& item, const rate_limit_notice& notice) {
    // A backlog that was counted against a smaller limit must not outlast it.
    if (!notice.requests_per_s ||
        (item.latest.requests_per_s && *notice.requests_per_s > *item.latest.requests_per_s)) {
        item.next_at = std::min(item.next_at, notice.named_at);
    }
    item.latest = notice;
}

void upstream_rate_limits::merge(const std::vector<rate_limit_notice>& notices) {
    for (const rate_limit_notice& notice : notices) {
        const auto restarted = restarted_.find(notice.upstream);
        if (restarted != restarted_.end() && notice.named_at < restarted->second) {
            continue;
        }
        const bool known = records_.count(notice.upstream) > 0;
        if (!known && !notice.requests_per_s) {
            continue;
        }
        record& item = records_[notice.upstream];
        if (!known) {
            item.next_at = notice.named_at;
        }
        if (!known || notice.named_at > item.latest.named_at) {
            adopt(item, notice);
        }
    }
}

std::vector<rate_limit_notice> upstream_rate_limits::notices(instant now) const {
    std::vector<rate_limit_notice> result;
    for (const auto& [upstream, item] : records_) {
        const bool reported =
            item.own.requests_per_s || now - item.own.named_at < lifted_report_time;
        if (!item.own.upstream.empty() && reported) {
            result.push_back(item.own);
        }
    }
    return result;
}

void upstream_rate_limits::on_dispatch(const std::string& upstream, instant now) {
    const std::optional<double> rate = rate_of(upstream);
    if (!rate) {
        return;
    }
    instant& next_at = records_[upstream].next_at;
    next_at = std::max(next_at, now - burst_time) + from_seconds(1.0 / *rate);
}

void upstream_rate_limits::remove(const std::string& upstream) {
    records_.erase(upstream);
    restarted_.erase(upstream);
}

void upstream_rate_limits::on_restarted(const std::string& upstream, instant now) {
    records_.erase(upstream);
    restarted_[upstream] = now;
}

duration upstream_rate_limits::time_until_accepted(const std::string& upstream, int rank,
                                                   instant now) const {
    if (!rate_of(upstream)) {
        return duration::zero();
    }
    const instant accepts_at = records_.find(upstream)->second.next_at +
                               rank_delay * std::clamp(rank, 0, max_delayed_ranks);
    return std::max(duration::zero(), accepts_at - now);
}

std::optional<double> upstream_rate_limits::rate_of(const std::string& upstream) const {
    const auto found = records_.find(upstream);
    if (found == records_.end() || !found->second.latest.requests_per_s) {
        return std::nullopt;
    }
    return std::max(min_rate, *found->second.latest.requests_per_s * share_);
}

std::size_t upstream_rate_limits::size() const {
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [](const auto& item) { return item.second.latest.requests_per_s.has_value(); }));
}

}  // namespace fuchsiaquay
