#include "core/limits/limit_keeper.hpp"

#include <cmath>

namespace fuchsiaquay {
namespace {

constexpr double unlimited = -1.0;

double grant_share(share_ledger& ledger, const share_ledger::claim& claim, double limit,
                   const limit_keeper::keeper_status& status, instant now) {
    if (limit <= 0.0) {
        return unlimited;
    }
    const bool full = status.live_fraction >= limit_keeper::full_limit_fraction;
    const double ceiling = full ? limit : limit * status.live_fraction;
    return ledger.grant(claim, ceiling, !status.new_keeper, now);
}

}  // namespace

budget_grant limit_keeper::grant(const budget_request& request, const customer_limits& limits,
                                 const keeper_status& status, instant now) {
    customer_ledgers& ledgers = ledgers_[request.customer];
    const bool gives_back = request.wanted_requests <= 0.0 && request.held_requests <= 0.0 &&
                            request.held_tokens <= 0.0 && request.held_concurrency <= 0;
    budget_grant grant;
    grant.customer = request.customer;
    grant.lifetime = lease;
    if (gives_back) {
        ledgers.requests.release(request.host);
        ledgers.tokens.release(request.host);
        ledgers.concurrency.release(request.host);
        return grant;
    }
    grant.requests = grant_share(ledgers.requests,
                                 {request.host, request.wanted_requests, request.held_requests},
                                 limits.requests_per_second, status, now);
    grant.tokens =
        grant_share(ledgers.tokens, {request.host, request.wanted_tokens, request.held_tokens},
                    limits.tokens_per_second, status, now);
    const double concurrency =
        grant_share(ledgers.concurrency,
                    {request.host, static_cast<double>(request.wanted_concurrency),
                     static_cast<double>(request.held_concurrency)},
                    static_cast<double>(limits.concurrent_requests), status, now);
    grant.concurrency = static_cast<std::int64_t>(std::floor(concurrency));
    return grant;
}

void limit_keeper::expire(instant now) {
    for (auto it = ledgers_.begin(); it != ledgers_.end();) {
        customer_ledgers& ledgers = it->second;
        ledgers.requests.expire(now);
        ledgers.tokens.expire(now);
        ledgers.concurrency.expire(now);
        const bool unused =
            ledgers.requests.empty() && ledgers.tokens.empty() && ledgers.concurrency.empty();
        it = unused ? ledgers_.erase(it) : std::next(it);
    }
}

}  // namespace fuchsiaquay
