#include "core/limits/limit_keeper.hpp"

#include <cmath>

namespace fuchsiaquay {
namespace {

constexpr double no_ceiling = -1.0;

double divide(share_ledger& ledger, const share_ledger::claim& stated, double limit,
              const limit_keeper::keeper_status& at, instant now) {
    if (limit <= 0.0) {
        return no_ceiling;
    }
    const bool whole = at.live_fraction >= limit_keeper::full_limit_fraction;
    const double ceiling = whole ? limit : limit * at.live_fraction;
    return ledger.grant(stated, ceiling, !at.new_keeper, now);
}

}  // namespace

budget_grant limit_keeper::grant(const budget_request& request, const customer_limits& limits,
                                 const keeper_status& at, instant now) {
    book& shares = books_[request.customer];
    const bool gives_back = request.wanted_requests <= 0.0 && request.held_requests <= 0.0 &&
                            request.held_tokens <= 0.0 && request.held_concurrency <= 0;
    budget_grant grant;
    grant.customer = request.customer;
    grant.lifetime = lease;
    if (gives_back) {
        shares.requests.release(request.host);
        shares.tokens.release(request.host);
        shares.concurrency.release(request.host);
        return grant;
    }
    grant.requests =
        divide(shares.requests, {request.host, request.wanted_requests, request.held_requests},
               limits.requests_per_second, at, now);
    grant.tokens = divide(shares.tokens, {request.host, request.wanted_tokens, request.held_tokens},
                          limits.tokens_per_second, at, now);
    const double places = divide(shares.concurrency,
                                 {request.host, static_cast<double>(request.wanted_concurrency),
                                  static_cast<double>(request.held_concurrency)},
                                 static_cast<double>(limits.concurrent_requests), at, now);
    grant.concurrency = static_cast<std::int64_t>(std::floor(places));
    return grant;
}

void limit_keeper::expire(instant now) {
    for (auto it = books_.begin(); it != books_.end();) {
        book& shares = it->second;
        shares.requests.expire(now);
        shares.tokens.expire(now);
        shares.concurrency.expire(now);
        const bool unused =
            shares.requests.empty() && shares.tokens.empty() && shares.concurrency.empty();
        it = unused ? books_.erase(it) : std::next(it);
    }
}

}  // namespace fuchsiaquay
