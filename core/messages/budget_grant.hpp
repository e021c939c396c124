#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Share of a customer's limits, valid until its lifetime ends. Negative numbers mean no limit.
struct budget_grant {
    customer_id customer;
    /// Requests per second.
    double requests = 0.0;
    /// Tokens per second.
    double tokens = 0.0;
    /// Concurrent requests.
    std::int64_t concurrency = 0;
    duration lifetime{};

    friend bool operator==(const budget_grant& a, const budget_grant& b) {
        return std::tie(a.customer, a.requests, a.tokens, a.concurrency, a.lifetime) ==
               std::tie(b.customer, b.requests, b.tokens, b.concurrency, b.lifetime);
    }
    friend bool operator!=(const budget_grant& a, const budget_grant& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
