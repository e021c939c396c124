#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A call that may not be repeated, as presented by its caller.
struct begin_request {
    customer_id customer;
    /// Value of the `Idempotency-Key` header.
    std::string key;
    /// Hash of method, service, path and body.
    std::uint64_t fingerprint = 0;
    /// Time the call has left. The start must be durable well before.
    duration time_left{};

    friend bool operator==(const begin_request& a, const begin_request& b) {
        return std::tie(a.customer, a.key, a.fingerprint, a.time_left) ==
               std::tie(b.customer, b.key, b.fingerprint, b.time_left);
    }
    friend bool operator!=(const begin_request& a, const begin_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
