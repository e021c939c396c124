#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/request/plan_part.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A completion request to an engine.
struct engine_request {
    std::string address;
    std::uint16_t port = 0;
    std::string model;
    std::shared_ptr<const std::string> prompt;
    std::int64_t max_tokens = 0;
    int priority = 0;
    std::string stream_id;
    std::int64_t resume_from = 0;
    /// Parts of the prompt whose KV cache other engines hold.
    std::vector<plan_part> parts;
    /// Longest time until the first token. `stall_timeout` then limits the time between events.
    duration first_token_timeout{};
    duration stall_timeout{};
};

}  // namespace fuchsiaquay
