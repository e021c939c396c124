#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Request to begin a call that must run at most once.
struct begin_request {
    customer_id customer;
    /// Value of the `Idempotency-Key` header.
    std::string key;
    /// Hash of method, service, path and body.
    std::uint64_t fingerprint = 0;
    /// Time left until the deadline of the call. The start must be durable before then.
    duration time_left{};

    friend bool operator==(const begin_request& a, const begin_request& b) {
        return std::tie(a.customer, a.key, a.fingerprint, a.time_left) ==
               std::tie(b.customer, b.key, b.fingerprint, b.time_left);
    }
    friend bool operator!=(const begin_request& a, const begin_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
