#pragma once

#include <map>

#include "core/contract/customer_limits.hpp"
#include "core/limits/share_ledger.hpp"
#include "core/messages/budget_grant.hpp"
#include "core/messages/budget_request.hpp"

namespace fuchsiaquay {

/// Coordinator that divides the limits of customers among hosts. Its state is soft: a new keeper
/// rebuilds it from requests.
class limit_keeper {
public:
    /// What the keeper knows about its own role.
    struct keeper_status {
        /// Fraction of the recently known hosts that are live, 0 to 1.
        double live_fraction = 1.0;
        /// True if another host was the keeper within the last `share_retention`.
        bool new_keeper = false;
    };

    /// With at least this fraction of live hosts, the full limits are divided: the missing hosts
    /// are assumed dead rather than partitioned.
    static constexpr double full_limit_fraction = 0.75;
    static constexpr duration lease = std::chrono::seconds(1);
    /// Time for which the shares of silent hosts still count, and for which a new keeper only
    /// confirms shares.
    static constexpr duration share_retention = std::chrono::seconds(10);

    budget_grant grant(const budget_request& request, const customer_limits& limits,
                       const keeper_status& status, instant now);
    /// Removes customers without hosts.
    void expire(instant now);
    std::size_t customers() const noexcept { return ledgers_.size(); }

private:
    struct customer_ledgers {
        share_ledger requests{share_retention};
        share_ledger tokens{share_retention};
        share_ledger concurrency{share_retention};
    };

    std::map<customer_id, customer_ledgers> ledgers_;
};

}  // namespace fuchsiaquay
