#include "core/limits/cold_upstream_budget.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration window = std::chrono::seconds(1);
/// Fraction of the bound that is used. The rest is for hosts that begin to serve before the others
/// know of them.
constexpr double utilization = 0.9;
/// Fraction of that which hosts that hear each other share without knowing that the upstream is
/// cold. The rest is for requests that they have not heard of yet.
constexpr double shared_part = 0.5;
/// Time in which the hosts hear of a request. Announcements take some milliseconds.
constexpr duration hearing_time = std::chrono::milliseconds(100);

void add(std::vector<instant>& sent, instant at) {
    sent.erase(std::remove_if(sent.begin(), sent.end(),
                              [at](instant earlier) { return earlier <= at - window; }),
               sent.end());
    sent.insert(std::upper_bound(sent.begin(), sent.end(), at), at);
}

/// Returns the time until fewer than `limit` requests of `sent` are in the last second.
duration wait_for(const std::vector<instant>& sent, double limit, instant now) {
    const auto count = static_cast<std::size_t>(limit);
    return sent.size() < count
               ? duration::zero()
               : std::max(duration::zero(), sent[sent.size() - count] + window - now);
}

}  // namespace

void cold_upstream_budget::set_hosts(const std::string& self, std::vector<std::string> hosts) {
    if (self == self_ && hosts == hosts_) {
        return;
    }
    self_ = self;
    hosts_ = std::move(hosts);
    orders_.clear();
}

bool cold_upstream_budget::on_cold(const upstream_lifetime& process, instant until, instant now) {
    record& item = records_[process.id];
    if (process.started_at_ms < item.started_at_ms) {
        return false;
    }
    const bool was_cold = item.started_at_ms == process.started_at_ms && now < item.cold_until;
    item.started_at_ms = process.started_at_ms;
    item.cold_until = std::max(item.cold_until, until);
    return !was_cold && now < until;
}

void cold_upstream_budget::on_dispatch(const std::string& upstream, bool own, instant sent_at) {
    record& item = records_[upstream];
    add(item.all_sent, sent_at);
    if (own) {
        add(item.own_sent, sent_at);
    }
}

void cold_upstream_budget::remove(const std::string& upstream) {
    records_.erase(upstream);
    orders_.erase(upstream);
}

bool cold_upstream_budget::is_cold(const std::string& upstream, instant now) const {
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.cold_until;
}

std::size_t cold_upstream_budget::own_order(const std::string& upstream) const {
    const auto known = orders_.find(upstream);
    if (known != orders_.end()) {
        return known->second;
    }
    const std::uint64_t seed = stable_hash(upstream);
    const std::uint64_t own = stable_hash(self_, seed);
    const auto before = std::count_if(
        hosts_.begin(), hosts_.end(),
        [seed, own](const std::string& host) { return stable_hash(host, seed) < own; });
    return orders_.emplace(upstream, static_cast<std::size_t>(before)).first->second;
}

std::size_t cold_upstream_budget::own_limit(const std::string& upstream, double total) const {
    const std::size_t hosts = std::max(hosts_.size(), bounds_.min_hosts);
    const auto share = static_cast<std::size_t>(total / static_cast<double>(hosts));
    if (share > 0) {
        return share;
    }
    return static_cast<double>(own_order(upstream)) + 1.0 <= total ? 1 : 0;
}

duration cold_upstream_budget::shared_wait(const record& item, double limit, instant now) {
    // Each host may send one request before it hears the others.
    const duration pause =
        item.own_sent.empty() ? duration::zero() : item.own_sent.back() + hearing_time - now;
    return std::max({duration::zero(), pause, wait_for(item.all_sent, limit, now)});
}

duration cold_upstream_budget::time_until_accepted(const std::string& upstream,
                                                   double tolerated_per_s, instant now) const {
    if (tolerated_per_s <= 0.0) {
        return duration::zero();
    }
    const auto found = records_.find(upstream);
    const bool cold = found != records_.end() && now < found->second.cold_until;
    if (informed_ && !cold) {
        return duration::zero();
    }
    const double total =
        std::floor(utilization * (tolerated_per_s * bounds_.overage + bounds_.slack));
    const double shared = std::floor(total * shared_part);
    if (!cold && hears_all_ && shared + static_cast<double>(hosts_.size()) <= total) {
        return found == records_.end() ? duration::zero() : shared_wait(found->second, shared, now);
    }
    const std::size_t own = own_limit(upstream, total);
    const duration until_warm = cold ? found->second.cold_until - now : window;
    if (own == 0) {
        return until_warm;
    }
    if (found == records_.end()) {
        return duration::zero();
    }
    const duration wait = std::max(wait_for(found->second.own_sent, static_cast<double>(own), now),
                                   wait_for(found->second.all_sent, total, now));
    return informed_ ? std::min(wait, until_warm) : wait;
}

std::size_t cold_upstream_budget::size(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [now](const auto& item) { return now < item.second.cold_until; }));
}

}  // namespace fuchsiaquay
