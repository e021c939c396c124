#pragma once

#include <cstddef>
#include <string>

#include "core/time/clock.hpp"
#include "ctl/bench/workload_request.hpp"

namespace fuchsiaquay {

/// Outcome of one request of a workload.
struct request_record {
    enum class result { pending, finished, refused, failed };
    workload_request request;
    result outcome = result::pending;
    /// True when the request received its grants.
    bool admitted = false;
    /// Time from arrival to the first token; `duration::max()` when there was none.
    duration first_token = duration::max();
    /// Time from arrival to the end of the request.
    duration ended{};
    std::int64_t cached_tokens = 0;
    std::string reason;
};

}  // namespace fuchsiaquay
