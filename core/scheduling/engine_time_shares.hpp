#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "core/scheduling/customer_shares.hpp"
#include "core/scheduling/decaying_rate.hpp"
#include "core/scheduling/share_standing.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_work;

/// Engine time that the client accounts use at each service, from the work that all hosts
/// announce. Each request counts when it is dispatched, so that an account whose long prompts wait
/// gets room as its earlier use is forgotten. A host that hears less of the others knows less use
/// and limits less.
class engine_time_shares {
public:
    /// Counts work that was sent to an engine. Work without an account does not count.
    void on_dispatch(const engine_work& work);

    /// @param account  `engine_account_key`
    /// To be asked for only while the engines of the service are short: the longer they stay so,
    /// the lower is the limit.
    /// @param rank  work of this and more urgent ranks counts
    share_standing standing(std::uint64_t account, int rank, instant now);

    /// Requests of a rank that all hosts have recently dispatched to a service.
    double requests_per_s(std::uint64_t account, int rank, instant now) const;

    /// Number of accounts that have sent work, over all services.
    std::size_t accounts() const;

private:
    struct usage_limit {
        double value = 0.0;
        instant computed_at{};
        /// Greatest use of all accounts in the current and the previous period.
        double peak = 0.0;
        double previous_peak = 0.0;
        /// Fraction of the greatest use to which the accounts are held together.
        double fraction = 0.0;
        instant period_start{};
    };

    /// Falls while limits are asked for without a pause, and rises otherwise.
    static double next_fraction(const usage_limit& limit, instant now);
    double limit_of(std::uint32_t service, int rank, instant now);

    /// By hash of the service.
    std::map<std::uint32_t, customer_shares> services_;
    /// By hash of the service and rank.
    std::map<std::pair<std::uint32_t, int>, usage_limit> limits_;
    /// Requests by hash of the service and rank.
    std::map<std::pair<std::uint32_t, int>, decaying_rate> request_rates_;
    instant latest_dispatch_{};
};

}  // namespace fuchsiaquay
