#include "core/scheduling/customer_shares.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

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
/// Usage up to this multiple of an even split counts as even: it varies with the sizes of prompts.
constexpr double uneven_usage_factor = 1.5;

}  // namespace

customer_shares::customer_shares(double tokens_per_second, const usage_windows& windows)
    : tokens_per_second_(tokens_per_second), windows_(windows) {}

void customer_shares::set_weight(const customer_id& customer, int level, double weight) {
    customer_usage& entry = customers_[customer];
    if (!entry.levels.empty()) {
        weights_[entry.levels.begin()->first] -= entry.weight;
    }
    entry.weight = weight;
    entry.levels.try_emplace(level, windows_);
    weights_[entry.levels.begin()->first] += weight;
}

void customer_shares::add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                                instant now) {
    level_usage& usage = customers_[customer].levels.try_emplace(level, windows_).first->second;
    (is_long ? usage.long_usage : usage.short_usage).add(tokens, now);
}

double customer_shares::used(const customer_usage& customer, int level, bool is_long,
                             instant now) const {
    double used = 0.0;
    for (const auto& [used_level, usage] : customer.levels) {
        if (used_level <= level) {
            used += (is_long ? usage.long_usage : usage.short_usage).at(now) / tokens_per_second_;
        }
    }
    return used;
}

double customer_shares::used(const customer_id& customer, int level, bool is_long,
                             instant now) const {
    const auto entry = customers_.find(customer);
    return entry == customers_.end() ? 0.0 : used(entry->second, level, is_long, now);
}

bool customer_shares::over_share(const customer_id& customer, int level, bool is_long,
                                 instant now) const {
    const auto entry = customers_.find(customer);
    if (entry == customers_.end()) {
        return false;
    }
    double weights = 0.0;
    for (const auto& [seen_level, weight] : weights_) {
        weights += seen_level <= level ? weight : 0.0;
    }
    const double share = weights > 0.0 ? entry->second.weight / weights : 1.0;
    const double factor = is_long ? long_share_factor : short_share_factor;
    return used(entry->second, level, is_long, now) > std::max(share * factor, min_over_share);
}

double customer_shares::total_used(int level, bool is_long, instant now) const {
    double total = 0.0;
    for (const auto& [customer, usage] : customers_) {
        total += used(usage, level, is_long, now);
    }
    return total;
}

double customer_shares::usage_limit(int level, bool is_long, double total, instant now) const {
    /// Usage for each unit of weight, and the weight.
    std::vector<std::pair<double, double>> entries;
    double weights_left = 0.0;
    for (const auto& [customer, usage] : customers_) {
        const double fraction = used(usage, level, is_long, now);
        if (fraction > 0.0 && usage.weight > 0.0) {
            entries.emplace_back(fraction / usage.weight, usage.weight);
            weights_left += usage.weight;
        }
    }
    const double even = weights_left > 0.0 ? total / weights_left : 0.0;
    std::sort(entries.begin(), entries.end());
    double left = total;
    for (const auto& [used_per_weight, weight] : entries) {
        if (used_per_weight * weights_left > left) {
            return std::max(left / weights_left, even * uneven_usage_factor);
        }
        left -= used_per_weight * weight;
        weights_left -= weight;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace fuchsiaquay
