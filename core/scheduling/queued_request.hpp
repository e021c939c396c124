#pragma once

#include <cstdint>

#include "core/messages/reserve_request.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A reservation that waits for its grant.
struct queued_request {
    reserve_request request;
    instant arrived{};
    instant deadline{};
    /// Last instant at which a grant still leaves time for the service.
    instant latest_start{};
    /// Prompt tokens the engine has to compute.
    std::int64_t prefill_tokens = 0;
    /// Work in tokens: prefill and expected output.
    double cost = 0.0;
    bool is_long = false;
    /// Wait that was estimated when it arrived.
    duration expected_wait{};
};

}  // namespace fuchsiaquay
