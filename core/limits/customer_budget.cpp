#include "core/limits/customer_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/limits/limit_keeper.hpp"

namespace fuchsiaquay {
namespace {

constexpr double unlimited = -1.0;
/// Requests admitted until the keeper's first answer.
constexpr double initial_requests = 1.0;
/// Relative growth of the demand that is reported to the keeper without delay.
constexpr double reported_growth = 0.25;
/// Time between requests to the keeper while the share is sufficient. Shorter than
/// `limit_keeper::share_retention`.
constexpr duration steady_request_interval = std::chrono::seconds(4);
constexpr duration max_retry_after = std::chrono::seconds(1);

double fraction_of(double limit, double fraction) {
    return limit <= 0.0 ? unlimited : limit * fraction;
}

double lower_limit(double a, double b) {
    return a < 0.0 || b < 0.0 ? std::max(a, b) : std::min(a, b);
}

double request_burst(double rate) {
    return std::max(1.0, rate * to_seconds(customer_budget::burst));
}

double token_burst(double rate) {
    return std::max(1.0, rate * to_seconds(customer_budget::burst));
}

}  // namespace

customer_budget::customer_budget(const customer_limits& limits, double static_fraction, instant now)
    : limits_(limits),
      static_fraction_(static_fraction),
      share_(static_share()),
      requests_(share_.requests, request_burst(share_.requests), initial_requests, now),
      tokens_(share_.tokens, token_burst(share_.tokens), 1.0, now),
      requested_at_(now),
      granted_at_(now),
      last_traffic_(now) {
    // Until the keeper has answered, the bucket does not refill and one request fits.
    if (share_.requests >= 0.0) {
        requests_.set_rate(0.0, initial_requests, now);
    }
}

limit_share customer_budget::static_share() const {
    return {
        fraction_of(limits_.requests_per_second, static_fraction_),
        fraction_of(limits_.tokens_per_second, static_fraction_),
        limits_.concurrent_requests <= 0
            ? unlimited
            : std::max(1.0, static_cast<double>(limits_.concurrent_requests) * static_fraction_)};
}

std::int64_t customer_budget::concurrency_limit() const {
    if (share_.concurrency < 0.0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return awaiting_first_answer_ ? 1 : static_cast<std::int64_t>(std::floor(share_.concurrency));
}

limit_verdict customer_budget::admit(double tokens, instant now) {
    check_keeper(now);
    last_traffic_ = now;
    wanted_requests_ += 1.0;
    wanted_tokens_ += tokens;
    peak_concurrency_ = std::max(peak_concurrency_, running_ + 1);
    if (running_ >= concurrency_limit()) {
        ++refused_concurrency_;
        refused_since_request_ = true;
        return {limit_kind::concurrency, limit_keeper::lease};
    }
    if (!requests_.ready(1.0, now)) {
        refused_since_request_ = true;
        return {limit_kind::requests, std::min(requests_.wait(1.0), max_retry_after)};
    }
    if (!tokens_.ready(1.0, now)) {
        refused_since_request_ = true;
        return {limit_kind::tokens, std::min(tokens_.wait(1.0), max_retry_after)};
    }
    requests_.take(1.0);
    tokens_.take(tokens);
    ++running_;
    return {};
}

void customer_budget::finish(double estimated, double actual) {
    --running_;
    tokens_.take(actual - estimated);
}

void customer_budget::set_limits(const customer_limits& limits, instant now) {
    if (limits == limits_) {
        return;
    }
    limits_ = limits;
    const limit_share full_limits{
        fraction_of(limits.requests_per_second, 1.0), fraction_of(limits.tokens_per_second, 1.0),
        fraction_of(static_cast<double>(limits.concurrent_requests), 1.0)};
    set_share({lower_limit(share_.requests, full_limits.requests),
               lower_limit(share_.tokens, full_limits.tokens),
               lower_limit(share_.concurrency, full_limits.concurrency)},
              now);
}

budget_request customer_budget::make_request(const customer_id& customer, const host_id& host,
                                             std::int64_t revision, instant now) {
    // The larger demand of two periods is reported, so that one second without traffic does not
    // give the share away.
    const double seconds = std::max(0.1, to_seconds(now - requested_at_));
    const double requests = wanted_requests_ / seconds;
    const double tokens = wanted_tokens_ / seconds;
    budget_request request;
    request.customer = customer;
    request.host = host;
    request.contract_revision = revision;
    if (!idle(now)) {
        request.wanted_requests = std::max({requests, last_wanted_requests_, 1.0});
        request.wanted_tokens = std::max(tokens, last_wanted_tokens_);
        request.wanted_concurrency =
            std::max({peak_concurrency_, running_ + refused_concurrency_, std::int64_t{1}});
        // Before the first answer the host states the static share as held, so that a keeper which
        // only confirms shares does not grant nothing.
        request.held_requests = std::max(0.0, share_.requests);
        request.held_tokens = std::max(0.0, share_.tokens);
        const double concurrency = std::floor(std::max(0.0, share_.concurrency));
        request.held_concurrency = std::max(running_, static_cast<std::int64_t>(concurrency));
    }
    refused_since_request_ = false;
    last_wanted_requests_ = requests;
    last_wanted_tokens_ = tokens;
    wanted_requests_ = 0.0;
    wanted_tokens_ = 0.0;
    peak_concurrency_ = running_;
    refused_concurrency_ = 0;
    requested_at_ = now;
    return request;
}

duration customer_budget::request_interval(instant now) const {
    if (awaiting_first_answer_ || refused_since_request_) {
        return limit_keeper::lease;
    }
    const double seconds = std::max(0.1, to_seconds(now - requested_at_));
    const double grown = wanted_requests_ / seconds - last_wanted_requests_;
    const bool steady = grown <= reported_growth * std::max(1.0, last_wanted_requests_);
    return steady ? steady_request_interval : limit_keeper::lease;
}

void customer_budget::apply(const budget_grant& grant, instant now) {
    awaiting_first_answer_ = false;
    granted_at_ = now;
    set_share({grant.requests, grant.tokens, static_cast<double>(grant.concurrency)}, now);
}

void customer_budget::check_keeper(instant now) {
    if (awaiting_first_answer_ && now - granted_at_ >= first_answer_timeout) {
        awaiting_first_answer_ = false;
        set_share(static_share(), now);
    } else if (!awaiting_first_answer_ && now - granted_at_ > limit_keeper::share_retention) {
        const limit_share fallback = static_share();
        set_share({lower_limit(share_.requests, fallback.requests),
                   lower_limit(share_.tokens, fallback.tokens),
                   lower_limit(share_.concurrency, fallback.concurrency)},
                  now);
    }
}

bool customer_budget::idle(instant now) const {
    return running_ == 0 && now - last_traffic_ >= idle_time;
}

void customer_budget::set_share(const limit_share& share, instant now) {
    share_ = share;
    requests_.set_rate(share.requests, request_burst(share.requests), now);
    tokens_.set_rate(share.tokens, token_burst(share.tokens), now);
}

}  // namespace fuchsiaquay
