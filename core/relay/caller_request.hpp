#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/relay/header_field.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A complete request of a caller.
struct caller_request {
    /// Unique for each attempt of the caller.
    std::string id;
    std::string method;
    /// Path and query as received.
    std::string target;
    std::string host;
    /// End-to-end headers that are forwarded unchanged.
    header_list headers;
    std::shared_ptr<const std::string> body;
    /// Empty if the caller sent none.
    std::string api_key;
    /// Time that the caller waits, counted from `received_at`.
    std::optional<duration> time_limit;
    /// Absent if the request states no sizes.
    std::optional<std::int64_t> prompt_tokens;
    std::int64_t max_answer_tokens = 0;
    /// Ids of the parts of the prompt that other requests may share; the last part, which belongs
    /// to the request or its session, is in `prompt_subject`.
    std::vector<std::string> prompt_parts;
    std::uint64_t prompt_subject = 0;
    /// Id of the last event that the caller received; empty for a new stream.
    std::string last_event_id;
    instant received_at{};

    std::string path() const { return target.substr(0, target.find('?')); }
};

}  // namespace fuchsiaquay
