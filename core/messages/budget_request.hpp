#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Asks the limit keeper of a customer for a share of its limits and states the share in use.
struct budget_request {
    customer_id customer;
    host_id host;
    std::int64_t contract_revision = 0;
    /// Demand of the callers of this host: requests and tokens per second, and concurrent requests.
    double wanted_requests = 0.0;
    double wanted_tokens = 0.0;
    std::int64_t wanted_concurrency = 0;
    /// Share that the host currently uses.
    double held_requests = 0.0;
    double held_tokens = 0.0;
    std::int64_t held_concurrency = 0;

    friend bool operator==(const budget_request& a, const budget_request& b) {
        return std::tie(a.customer, a.host, a.contract_revision, a.wanted_requests, a.wanted_tokens,
                        a.wanted_concurrency, a.held_requests, a.held_tokens, a.held_concurrency) ==
               std::tie(b.customer, b.host, b.contract_revision, b.wanted_requests, b.wanted_tokens,
                        b.wanted_concurrency, b.held_requests, b.held_tokens, b.held_concurrency);
    }
    friend bool operator!=(const budget_request& a, const budget_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
