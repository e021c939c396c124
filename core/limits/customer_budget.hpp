#pragma once

#include <cstdint>

#include "core/contract/customer_limits.hpp"
#include "core/limits/limit_share.hpp"
#include "core/limits/limit_verdict.hpp"
#include "core/limits/token_bucket.hpp"
#include "core/messages/budget_grant.hpp"
#include "core/messages/budget_request.hpp"

namespace fuchsiaquay {

/// One host's share of the limits of one customer. Admits requests locally and asks the keeper for
/// a larger or smaller share.
class customer_budget {
public:
    /// Burst allowance of the rates, as a time.
    static constexpr duration burst = std::chrono::seconds(1);
    /// Time to wait for the first answer of the keeper before the static share is used.
    static constexpr duration first_answer_timeout = std::chrono::milliseconds(500);
    /// Time without traffic after which the share is given back to the keeper.
    static constexpr duration idle_time = std::chrono::seconds(10);

    /// @param static_fraction  fraction of the limits to use without a keeper, 0 to 1
    customer_budget(const customer_limits& limits, double static_fraction, instant now);

    /// Admits a request of about `tokens` or returns the limit that it exceeds. Counts it as demand
    /// in both cases.
    limit_verdict admit(double tokens, instant now);
    /// Ends an admitted request. `estimated` is the number of tokens passed to `admit`, `actual`
    /// the number used.
    void finish(double estimated, double actual);
    /// Applies the limits of a new contract revision. Lower limits count at once, higher ones with
    /// the next grant.
    void set_limits(const customer_limits& limits, instant now);

    /// Makes the request to the keeper and resets the demand counters.
    budget_request make_request(const customer_id& customer, const host_id& host,
                                std::int64_t revision, instant now);
    /// Time between two requests to the keeper; short while callers are refused or demand grows.
    duration request_interval(instant now) const;
    instant requested_at() const noexcept { return requested_at_; }
    void apply(const budget_grant& grant, instant now);
    /// Falls back to the static share when the keeper has not answered for too long. Call it
    /// periodically.
    void check_keeper(instant now);
    /// Returns true if no request is running and there was no traffic for `idle_time`.
    bool idle(instant now) const;

    std::int64_t running() const noexcept { return running_; }
    limit_share share() const noexcept { return share_; }
    const customer_limits& limits() const noexcept { return limits_; }
    /// Time since the last answer of the keeper.
    duration grant_age(instant now) const { return now - granted_at_; }

private:
    limit_share static_share() const;
    void set_share(const limit_share& share, instant now);
    std::int64_t concurrency_limit() const;

    customer_limits limits_;
    double static_fraction_;
    limit_share share_;
    token_bucket requests_;
    token_bucket tokens_;
    std::int64_t running_ = 0;
    std::int64_t peak_concurrency_ = 0;
    std::int64_t refused_concurrency_ = 0;
    double wanted_requests_ = 0.0;
    double wanted_tokens_ = 0.0;
    double last_wanted_requests_ = 0.0;
    double last_wanted_tokens_ = 0.0;
    instant requested_at_{};
    instant granted_at_{};
    instant last_traffic_{};
    /// A request was refused since the last request to the keeper.
    bool refused_since_request_ = false;
    /// The keeper has not answered yet.
    bool awaiting_first_answer_ = true;
};

}  // namespace fuchsiaquay
