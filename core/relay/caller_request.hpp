#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/relay/header_field.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A whole request of a caller.
struct caller_request {
    /// Unique for each attempt of the caller.
    std::string id;
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string host;
    /// End-to-end headers that are forwarded as they came.
    header_list headers;
    std::shared_ptr<const std::string> body;
    /// Empty when the caller showed none.
    std::string api_key;
    /// How long the caller waits, from arrival.
    std::optional<duration> time_limit;
    /// Absent when the request states no sizes.
    std::optional<std::int64_t> prompt_tokens;
    std::int64_t max_answer_tokens = 0;
    /// Last event that the caller has; empty at the start of a stream.
    std::string last_event_id;
    instant received_at{};

    std::string path() const { return target.substr(0, target.find('?')); }
};

}  // namespace fuchsiaquay
