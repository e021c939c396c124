#pragma once

#include <cstdint>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A grant as recorded by the owner of the upstream.
struct grant_record {
    grant_id grant;
    request_id request;
    host_id entry_host;
    customer_id customer;
    int level = 0;
    bool is_long = false;
    /// The customer was over its share when the request was granted.
    bool over_share = false;
    std::int64_t memory_tokens = 0;
    std::int64_t output_tokens = 0;
    /// Predicted prefill work that the engine has not done yet, in tokens.
    double prefill_left = 0.0;
    int engine_priority = 0;
    /// Sequence number; grants of equal priority are served in this order.
    std::uint64_t order = 0;
    instant granted_at{};
    instant expires_at{};
    /// The engine has reported the stream at least once.
    bool listed_by_engine = false;
};

}  // namespace fuchsiaquay
