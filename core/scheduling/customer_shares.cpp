#include "core/scheduling/customer_shares.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

/// Short prompts of a customer keep their priority until it has used this fraction of its share.
/// The remaining fraction absorbs bursts, so that a customer beside a flooding one finds the
/// upstream free.
constexpr double short_share_factor = 0.7;
/// Above 1, because long prompts arrive one at a time and usage varies widely around its mean.
constexpr double long_share_factor = 1.5;
/// A customer that uses less than this fraction of the upstream is never over its share.
constexpr double min_over_share = 0.15;

}  // namespace

customer_shares::customer_shares(double tokens_per_second)
    : tokens_per_second_(tokens_per_second) {}

void customer_shares::set_weight(const customer_id& customer, int level, double weight) {
    customer_usage& entry = customers_[customer];
    if (!entry.levels.empty()) {
        weights_[entry.levels.begin()->first] -= entry.weight;
    }
    entry.weight = weight;
    entry.levels.try_emplace(level);
    weights_[entry.levels.begin()->first] += weight;
}

void customer_shares::add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                                instant now) {
    level_usage& usage = customers_[customer].levels[level];
    (is_long ? usage.long_usage : usage.short_usage).add(tokens, now);
}

bool customer_shares::over_share(const customer_id& customer, int level, bool is_long,
                                 instant now) const {
    const auto entry = customers_.find(customer);
    if (entry == customers_.end()) {
        return false;
    }
    double used = 0.0;
    for (const auto& [used_level, usage] : entry->second.levels) {
        if (used_level <= level) {
            used += (is_long ? usage.long_usage : usage.short_usage).at(now) / tokens_per_second_;
        }
    }
    double weights = 0.0;
    for (const auto& [seen_level, weight] : weights_) {
        weights += seen_level <= level ? weight : 0.0;
    }
    const double share = weights > 0.0 ? entry->second.weight / weights : 1.0;
    const double factor = is_long ? long_share_factor : short_share_factor;
    return used > std::max(share * factor, min_over_share);
}

}  // namespace fuchsiaquay
