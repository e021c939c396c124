#pragma once

#include <cstdint>

#include "core/contract/customer_limits.hpp"
#include "core/limits/limit_share.hpp"
#include "core/limits/limit_verdict.hpp"
#include "core/limits/token_bucket.hpp"
#include "core/messages/budget_grant.hpp"
#include "core/messages/budget_request.hpp"

namespace fuchsiaquay {

/// Share of one customer's limits on one host: admits by itself and asks the keeper for more.
class customer_budget {
public:
    /// Burst allowance of the rates.
    static constexpr duration burst = std::chrono::seconds(1);
    /// Time that the first answer of the keeper is waited for.
    static constexpr duration first_answer_timeout = std::chrono::milliseconds(500);
    /// Time without traffic after which the share is given back.
    static constexpr duration idle_time = std::chrono::seconds(10);

    /// @param static_fraction  part of the limits to go by without a keeper, 0 to 1
    customer_budget(const customer_limits& limits, double static_fraction, instant now);

    /// Takes a request of about `tokens` in, or says why not. Counts it as wanted either way.
    limit_verdict admit(double tokens, instant now);
    /// Ends an admitted request whose estimate was `estimated`.
    void finish(double estimated, double actual);
    /// Takes in the limits of a new revision of the contract.
    void set_limits(const customer_limits& limits, instant now);

    /// What to ask the keeper for; the counts start again.
    budget_request make_request(const customer_id& customer, const host_id& host,
                                std::int64_t revision, instant now);
    /// Time between two requests to the keeper: short while callers are refused or demand grows.
    duration request_interval(instant now) const;
    instant requested_at() const noexcept { return asked_at_; }
    void apply(const budget_grant& grant, instant now);
    /// Falls back when the keeper has been silent for too long. To be called now and then.
    void check_keeper(instant now);
    /// Whether there is nothing running and was no traffic for the idle time.
    bool idle(instant now) const;

    std::int64_t running() const noexcept { return running_; }
    limit_share share() const noexcept { return share_; }
    const customer_limits& limits() const noexcept { return limits_; }
    /// Time since the last answer of the keeper.
    duration grant_age(instant now) const { return now - granted_at_; }

private:
    limit_share static_share() const;
    void set_share(const limit_share& share, instant now);
    std::int64_t places() const;

    customer_limits limits_;
    double static_fraction_;
    limit_share share_;
    token_bucket requests_;
    token_bucket tokens_;
    std::int64_t running_ = 0;
    std::int64_t most_wanted_at_once_ = 0;
    std::int64_t refused_places_ = 0;
    double wanted_requests_ = 0.0;
    double wanted_tokens_ = 0.0;
    double last_wanted_requests_ = 0.0;
    double last_wanted_tokens_ = 0.0;
    instant asked_at_{};
    instant granted_at_{};
    instant last_traffic_{};
    /// Refused something since the last request to the keeper.
    bool short_ = false;
    /// No answer of the keeper yet.
    bool probing_ = true;
};

}  // namespace fuchsiaquay
