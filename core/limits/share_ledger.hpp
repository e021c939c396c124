#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Records how the limit keeper divides one limit among hosts.
class share_ledger {
public:
    /// What a host states in a request for a share.
    struct claim {
        host_id host;
        double wanted = 0.0;
        double held = 0.0;
    };

    /// @param retention  time for which the share of a silent host still counts
    explicit share_ledger(duration retention) : retention_(retention) {}

    /// Returns the share of the host from now on.
    /// @param ceiling  limit for all hosts together
    /// @param moving   false: only confirms the shares that hosts already hold
    double grant(const claim& claimed, double ceiling, bool moving, instant now);
    /// Removes a host that gave its share back.
    void release(const host_id& host) { holders_.erase(host); }
    /// Sum of the shares that currently count.
    double granted() const;
    bool empty() const noexcept { return holders_.empty(); }
    /// Removes hosts that were silent for longer than the retention time.
    void expire(instant now);

private:
    struct holder {
        double wanted = 0.0;
        /// The larger of the granted share and the share that the host last claimed.
        double counted = 0.0;
        instant last_heard{};
    };

    double fair_share(const host_id& host, double ceiling, instant now) const;

    duration retention_;
    std::map<host_id, holder> holders_;
};

}  // namespace fuchsiaquay
