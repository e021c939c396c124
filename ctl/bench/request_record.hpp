#pragma once

#include <cstddef>
#include <string>

#include "core/time/clock.hpp"
#include "ctl/bench/workload_request.hpp"

namespace fuchsiaquay {

/// What became of one request of a workload.
struct request_record {
    enum class result { pending, finished, refused, failed };
    workload_request request;
    result outcome = result::pending;
    /// A grant was given.
    bool admitted = false;
    /// Since arrival; `duration::max()` when there was no token.
    duration first_token = duration::max();
    /// Since arrival.
    duration ended{};
    std::int64_t cached_tokens = 0;
    std::string reason;
};

}  // namespace fuchsiaquay
