#pragma once

#include <cstdint>
#include <tuple>
#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A slice of the budget of a customer, valid until its lifetime ends.
struct budget_grant {
    customer_id customer;
    /// Requests that may start before the lease ends.
    double requests = 0.0;
    double tokens = 0.0;
    std::int64_t concurrency = 0;
    duration lifetime{};

    friend bool operator==(const budget_grant& a, const budget_grant& b) {
        return std::tie(a.customer, a.requests, a.tokens, a.concurrency, a.lifetime) ==
               std::tie(b.customer, b.requests, b.tokens, b.concurrency, b.lifetime);
    }
    friend bool operator!=(const budget_grant& a, const budget_grant& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
