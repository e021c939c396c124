#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Asks the owner of an upstream for memory and a place in its queue. The prompt is not part of the
/// message.
struct reserve_request {
    request_id request;
    upstream_id upstream;
    /// Host that will dispatch to the upstream.
    host_id entry_host;
    customer_id customer;
    /// Weight of the customer within its level.
    double weight = 1.0;
    /// Rank level, 0 is the most urgent.
    int level = 0;
    /// Floor of the level as a fraction of the upstream, 0 to 1.
    double floor_share = 0.0;
    std::int64_t prompt_tokens = 0;
    /// Prompt tokens expected in the prefix cache of the upstream.
    std::int64_t cached_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    /// KV cache to reserve, in tokens.
    std::int64_t memory_tokens = 0;
    /// Time from sending until the deadline; relative, because hosts do not share a clock.
    duration time_left{};

    friend bool operator==(const reserve_request& a, const reserve_request& b) {
        return std::tie(a.request, a.upstream, a.entry_host, a.customer, a.weight, a.level,
                        a.floor_share, a.prompt_tokens, a.cached_tokens, a.expected_output_tokens,
                        a.memory_tokens, a.time_left) ==
               std::tie(b.request, b.upstream, b.entry_host, b.customer, b.weight, b.level,
                        b.floor_share, b.prompt_tokens, b.cached_tokens, b.expected_output_tokens,
                        b.memory_tokens, b.time_left);
    }
    friend bool operator!=(const reserve_request& a, const reserve_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
