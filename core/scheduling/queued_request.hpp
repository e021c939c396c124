#pragma once

#include <cstdint>

#include "core/messages/reserve_request.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A reservation that waits to be granted.
struct queued_request {
    reserve_request request;
    instant arrived{};
    instant deadline{};
    /// Latest time of a grant that leaves enough time for the service.
    instant latest_start{};
    /// Prompt tokens that the engine has to compute.
    std::int64_t prefill_tokens = 0;
    /// Work in tokens: prefill and expected output.
    double cost = 0.0;
    bool is_long = false;
    /// Wait estimated on arrival.
    duration expected_wait{};
};

}  // namespace fuchsiaquay
