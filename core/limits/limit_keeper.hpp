#pragma once

#include <map>

#include "core/contract/customer_limits.hpp"
#include "core/limits/share_ledger.hpp"
#include "core/messages/budget_grant.hpp"
#include "core/messages/budget_request.hpp"

namespace fuchsiaquay {

/// Divides the limits of customers among hosts. Soft state: a new keeper learns it from requests.
class limit_keeper {
public:
    /// What the keeper knows about its own place.
    struct keeper_status {
        /// Live hosts over hosts known lately, 0 to 1.
        double live_fraction = 1.0;
        /// True: another host was the keeper a hold time ago.
        bool new_keeper = false;
    };

    /// Above this part of live hosts the missing ones count as dead, not as parted.
    static constexpr double full_limit_fraction = 0.75;
    /// Length of a lease.
    static constexpr duration lease = std::chrono::seconds(1);
    /// Time for which shares of silent hosts count, and for which a new keeper moves nothing.
    static constexpr duration share_retention = std::chrono::seconds(10);

    budget_grant grant(const budget_request& request, const customer_limits& limits,
                       const keeper_status& at, instant now);
    /// Forgets customers without hosts.
    void expire(instant now);
    std::size_t customers() const noexcept { return books_.size(); }

private:
    struct book {
        share_ledger requests{share_retention};
        share_ledger tokens{share_retention};
        share_ledger concurrency{share_retention};
    };

    std::map<customer_id, book> books_;
};

}  // namespace fuchsiaquay
