#pragma once

#include <cstdint>
#include <tuple>

namespace fuchsiaquay {

/// Limits of one customer, summed over all hosts. Zero means no limit.
struct customer_limits {
    double requests_per_second = 0.0;
    double tokens_per_second = 0.0;
    std::int64_t concurrent_requests = 0;

    friend bool operator==(const customer_limits& a, const customer_limits& b) {
        return std::tie(a.requests_per_second, a.tokens_per_second, a.concurrent_requests) ==
               std::tie(b.requests_per_second, b.tokens_per_second, b.concurrent_requests);
    }
    friend bool operator!=(const customer_limits& a, const customer_limits& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
