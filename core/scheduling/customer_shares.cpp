#include "core/scheduling/customer_shares.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

/// Short prompts keep their place up to this part of the customer's share; what is left of it takes
/// up bursts, so that a customer beside a flooding one finds the upstream free.
constexpr double short_share_factor = 0.7;
/// Long prompts come one at a time, so that use swings far around its mean.
constexpr double long_share_factor = 1.5;
/// Below this part of the upstream a customer is never over its share.
constexpr double min_over_share = 0.15;

}  // namespace

customer_shares::customer_shares(double tokens_per_second)
    : tokens_per_second_(tokens_per_second) {}

void customer_shares::set_weight(const customer_id& customer, int level, double weight) {
    customer_use& own = customers_[customer];
    if (!own.levels.empty()) {
        weights_[own.levels.begin()->first] -= own.weight;
    }
    own.weight = weight;
    own.levels.try_emplace(level);
    weights_[own.levels.begin()->first] += weight;
}

void customer_shares::add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                                instant now) {
    level_use& use = customers_[customer].levels[level];
    (is_long ? use.long_use : use.short_use).add(tokens, now);
}

bool customer_shares::over_share(const customer_id& customer, int level, bool is_long,
                                 instant now) const {
    const auto own = customers_.find(customer);
    if (own == customers_.end()) {
        return false;
    }
    double used = 0.0;
    for (const auto& [other, use] : own->second.levels) {
        if (other <= level) {
            used += (is_long ? use.long_use : use.short_use).at(now) / tokens_per_second_;
        }
    }
    double weights = 0.0;
    for (const auto& [other, weight] : weights_) {
        weights += other <= level ? weight : 0.0;
    }
    const double share = weights > 0.0 ? own->second.weight / weights : 1.0;
    const double factor = is_long ? long_share_factor : short_share_factor;
    return used > std::max(share * factor, min_over_share);
}

}  // namespace fuchsiaquay
