#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/limits/rate_limit_notice.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Limits that upstreams name in their answers, and the requests that all hosts send to them.
///
/// Each host counts the requests of all hosts, which announce what they dispatch, against the limit
/// of an upstream, and tells the others what the upstreams' answers to it said. A host that does
/// not hear all others uses its share of the limit only.
class upstream_rate_limits {
public:
    using change_handler = std::function<void()>;

    /// Records what an answer said.
    /// @param requests_per_s  absent if it named no limit
    /// @return true if this host learns a limit, another limit or its end
    bool on_answer(const std::string& upstream, std::optional<double> requests_per_s, instant now);
    /// Merges what answers said to another host. The latest answer counts.
    void merge(const std::vector<rate_limit_notice>& notices);
    /// What answers said to this host, as far as it matters to the others.
    std::vector<rate_limit_notice> notices(instant now) const;
    /// Counts a request that some host sent to `upstream`.
    void on_dispatch(const std::string& upstream, instant now);
    void remove(const std::string& upstream);
    /// Forgets the limit that an earlier process of `upstream` named, also if another host still
    /// tells of it.
    void on_restarted(const std::string& upstream, instant now);
    /// Sets the share of all limits that this host, and the hosts that it hears, may use.
    void set_share(double share) { share_ = share; }
    /// Sets the handler that is called when other hosts should receive the notices soon.
    void on_change(change_handler changed) { changed_ = std::move(changed); }

    /// Time until `upstream` takes another request; zero if it takes one now. Less urgent requests
    /// wait a little longer, so that urgent ones of other hosts go first.
    duration time_until_accepted(const std::string& upstream, int rank, instant now) const;
    bool accepts(const std::string& upstream, int rank, instant now) const {
        return time_until_accepted(upstream, rank, now) == duration::zero();
    }
    /// Requests per second that `upstream` takes of this host and those that it hears; absent if it
    /// names no limit.
    std::optional<double> rate_of(const std::string& upstream) const;
    /// Number of upstreams that name a limit.
    std::size_t size() const;

private:
    struct record {
        /// Latest notice of any host.
        rate_limit_notice latest;
        /// Latest notice to this host.
        rate_limit_notice own;
        /// When the limit leaves room for the next request.
        instant next_at{};
    };

    static void adopt(record& item, const rate_limit_notice& notice);

    /// By upstream id; only upstreams that name a limit, or did recently.
    std::map<std::string, record> records_;
    /// When upstreams were found to have restarted.
    std::map<std::string, instant> restarted_;
    double share_ = 1.0;
    change_handler changed_;
};

}  // namespace fuchsiaquay
