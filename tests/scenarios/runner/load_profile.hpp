#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::scenarios {

/// Describes the load of a scenario. Each of the `callers` makes one call after another.
struct load_profile {
    /// "stream", "plain" or "service".
    std::string kind = "stream";
    std::int64_t callers = 4;
    /// Total number of calls; 0 means until the load is stopped.
    std::int64_t calls = 0;
    /// Mean pause of a caller between two calls.
    std::int64_t pause_ms = 20;
    std::string caller_key;
    std::string rank;
    std::string model;
    std::int64_t prompt_bytes_min = 40;
    std::int64_t prompt_bytes_max = 400;
    std::int64_t max_tokens_min = 4;
    std::int64_t max_tokens_max = 24;
    std::int64_t deadline_ms = 10000;
    /// Time that a caller waits after the deadline, so that a node that answers by the deadline is
    /// never cut off by its caller.
    std::int64_t extra_wait_ms = 4000;
    std::string service;
    bool repeatable = false;
    /// Sends each service call to two nodes at once, as a hedging caller does.
    bool send_duplicates = false;
    /// Repeats an answered service call, as a caller does that lost the answer.
    bool repeat_answered = false;
};

}  // namespace fuchsiaquay::scenarios
