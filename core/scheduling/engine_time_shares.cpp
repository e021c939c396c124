#include "core/scheduling/engine_time_shares.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "core/placement/engine_work.hpp"
#include "core/scheduling/engine_account_key.hpp"

namespace fuchsiaquay {
namespace {

/// Usage is counted in engine seconds per second, that is, in engines.
constexpr double engine_seconds_per_second = 1.0;
/// Callers that were refused come back within seconds, so older use says little about who competes
/// for the engines now. Ranks keep long prompts apart from short ones where they differ.
constexpr duration usage_window = std::chrono::seconds(5);
constexpr usage_windows windows{usage_window, usage_window};
/// Fractions of the greatest recent use to which the accounts are held together, when engines
/// become short and when they stay so. The rest frees engines for the accounts that use less.
constexpr double first_fraction = 0.85;
constexpr double min_fraction = 0.4;
/// Times in which the fraction falls and rises by a factor of e. Prompts that are late anyway take
/// a few seconds to leave the engines.
constexpr duration fall_time = std::chrono::seconds(3);
constexpr duration rise_time = std::chrono::seconds(3);
/// Engines that were not short for this time count as relieved.
constexpr duration relief_gap = std::chrono::milliseconds(250);
/// The greatest use is that of one to two of these periods. It stays above the time that callers
/// wait before they come back, so that what they were told holds.
constexpr duration peak_period = std::chrono::seconds(15);
/// A burst shows within this time.
constexpr duration request_rate_window = std::chrono::seconds(1);
/// The configuration has no weights of accounts.
constexpr double account_weight = 1.0;
/// Limits are computed again after this time, within which hosts hear of each other's work.
constexpr duration limit_lifetime = std::chrono::milliseconds(20);

customer_id account_id(std::uint64_t account) {
    return customer_id(std::to_string(account));
}

}  // namespace

void engine_time_shares::on_dispatch(const engine_work& work) {
    if (work.account == 0 || work.engine_time <= duration::zero()) {
        return;
    }
    customer_shares& shares = services_
                                  .try_emplace(service_of(work.account),
                                               customer_shares(engine_seconds_per_second, windows))
                                  .first->second;
    // Bounds the weight of work that is announced much later than it was sent.
    latest_dispatch_ = std::max(latest_dispatch_, work.dispatched_at);
    const instant counted_at = std::max(work.dispatched_at, latest_dispatch_ - usage_window);
    if (work.generates()) {
        request_rates_.try_emplace({service_of(work.account), work.rank}, request_rate_window)
            .first->second.add(1.0, counted_at);
    }
    const customer_id account = account_id(work.account);
    shares.set_weight(account, work.rank, account_weight);
    shares.add_usage(account, work.rank, false, to_seconds(work.engine_time), counted_at);
}

share_standing engine_time_shares::standing(std::uint64_t account, int rank, instant now) {
    share_standing result;
    const std::uint32_t service = service_of(account);
    const auto shares = services_.find(service);
    if (shares == services_.end()) {
        return result;
    }
    result.used = shares->second.used(account_id(account), rank, false, now);
    result.limit = limit_of(service, rank, now) * account_weight;
    if (result.used > result.limit) {
        result.free_in =
            from_seconds(to_seconds(usage_window) * std::log(result.used / result.limit));
    }
    return result;
}

double engine_time_shares::requests_per_s(std::uint64_t account, int rank, instant now) const {
    const auto rate = request_rates_.find({service_of(account), rank});
    return rate == request_rates_.end() ? 0.0 : rate->second.at(now);
}

std::size_t engine_time_shares::accounts() const {
    std::size_t total = 0;
    for (const auto& [service, shares] : services_) {
        total += shares.size();
    }
    return total;
}

double engine_time_shares::next_fraction(const usage_limit& limit, instant now) {
    if (limit.computed_at == instant{}) {
        return first_fraction;
    }
    const duration passed = now - limit.computed_at;
    const bool stayed_short = passed <= relief_gap;
    const double change = stayed_short ? -to_seconds(passed) / to_seconds(fall_time)
                                       : to_seconds(passed) / to_seconds(rise_time);
    return std::clamp(limit.fraction * std::exp(change), min_fraction, first_fraction);
}

double engine_time_shares::limit_of(std::uint32_t service, int rank, instant now) {
    usage_limit& limit = limits_[{service, rank}];
    if (limit.computed_at != instant{} && now - limit.computed_at <= limit_lifetime) {
        return limit.value;
    }
    const customer_shares& shares = services_.at(service);
    if (now - limit.period_start > peak_period) {
        const bool recent = now - limit.period_start <= 2 * peak_period;
        limit.previous_peak = recent ? limit.peak : 0.0;
        limit.peak = 0.0;
        limit.period_start = now;
    }
    limit.peak = std::max(limit.peak, shares.total_used(rank, false, now));
    limit.fraction = next_fraction(limit, now);
    const double total = limit.fraction * std::max(limit.peak, limit.previous_peak);
    limit.value = shares.usage_limit(rank, false, total, now);
    limit.computed_at = now;
    return limit.value;
}

}  // namespace fuchsiaquay
