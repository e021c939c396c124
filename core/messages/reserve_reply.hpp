#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/messages/reserve_outcome.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Answer of an owner to a `reserve_request`; sent a second time when a queued request is granted
/// or refused.
struct reserve_reply {
    request_id request;
    upstream_id upstream;
    reserve_outcome outcome = reserve_outcome::refused;
    /// Set when granted.
    grant_id grant;
    /// Time for which the grant is valid unless it is renewed.
    duration grant_lifetime{};
    /// Expected wait before the engine starts the request.
    duration start_estimate{};
    /// Set when refused.
    duration retry_after{};
    /// Stable short code for logs and errors.
    std::string reason;
    /// Load of the upstream after this decision.
    std::int64_t free_memory_tokens = 0;
    std::int64_t queued_prefill_tokens = 0;
    std::int64_t running_requests = 0;
    /// Part of `queued_prefill_tokens` that belongs to long prompts.
    std::int64_t queued_long_tokens = 0;
    /// Priority of the stream at the engine if granted, 0 is the most urgent.
    int engine_priority = 0;

    friend bool operator==(const reserve_reply& a, const reserve_reply& b) {
        return std::tie(a.request, a.upstream, a.outcome, a.grant, a.grant_lifetime,
                        a.start_estimate, a.retry_after, a.reason, a.free_memory_tokens,
                        a.queued_prefill_tokens, a.running_requests, a.queued_long_tokens,
                        a.engine_priority) ==
               std::tie(b.request, b.upstream, b.outcome, b.grant, b.grant_lifetime,
                        b.start_estimate, b.retry_after, b.reason, b.free_memory_tokens,
                        b.queued_prefill_tokens, b.running_requests, b.queued_long_tokens,
                        b.engine_priority);
    }
    friend bool operator!=(const reserve_reply& a, const reserve_reply& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
