#pragma once

#include <tuple>

namespace fuchsiaquay {

/// Share of a customer's limits that one host may use. Negative: no limit.
struct limit_share {
    /// Requests per second.
    double requests = 0.0;
    /// Tokens per second.
    double tokens = 0.0;
    /// Concurrent requests; the fraction is not used.
    double concurrency = 0.0;

    friend bool operator==(const limit_share& a, const limit_share& b) {
        return std::tie(a.requests, a.tokens, a.concurrency) ==
               std::tie(b.requests, b.tokens, b.concurrency);
    }
    friend bool operator!=(const limit_share& a, const limit_share& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
