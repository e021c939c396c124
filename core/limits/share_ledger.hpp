#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Division of one ceiling among hosts, as the limit keeper sees it.
class share_ledger {
public:
    /// One statement of a host.
    struct claim {
        host_id host;
        double wanted = 0.0;
        double held = 0.0;
    };

    /// @param hold  time for which the share of a silent host still counts
    explicit share_ledger(duration hold) : hold_(hold) {}

    /// Share of the host from now on.
    /// @param ceiling  what all hosts together may have
    /// @param moving   false: only confirms what hosts hold already
    double grant(const claim& stated, double ceiling, bool moving, instant now);
    /// Forgets a host that gave its share back.
    void release(const host_id& host) { holders_.erase(host); }
    /// Sum of the shares that count now.
    double granted() const;
    bool empty() const noexcept { return holders_.empty(); }
    /// Forgets hosts that were silent for the hold time.
    void expire(instant now);

private:
    struct holder {
        double wanted = 0.0;
        /// The larger of what was granted and what the host last stated.
        double counted = 0.0;
        instant heard{};
    };

    double fair_share(const host_id& host, double ceiling, instant now) const;

    duration hold_;
    std::map<host_id, holder> holders_;
};

}  // namespace fuchsiaquay
