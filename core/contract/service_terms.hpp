#pragma once

#include <tuple>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Terms of a contract for calls to one plain service.
struct service_terms {
    service_id service;
    /// False if a call must be executed at most once and needs an `Idempotency-Key`.
    bool repeatable = true;
    /// Time allowed for a call.
    duration deadline{};

    friend bool operator==(const service_terms& a, const service_terms& b) {
        return std::tie(a.service, a.repeatable, a.deadline) ==
               std::tie(b.service, b.repeatable, b.deadline);
    }
    friend bool operator!=(const service_terms& a, const service_terms& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
