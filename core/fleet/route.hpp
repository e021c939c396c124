#pragma once

#include <string>
#include <vector>

#include "core/fleet/request_semantics.hpp"
#include "core/fleet/weighted_service.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Rules for serving the requests of one host name and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string prefix;
    request_semantics semantics = request_semantics::non_idempotent;
    /// Maximum time that a caller waits for the answer.
    duration timeout{};
    /// Latency objective for an answer or the first event of a stream. Later answers are worth
    /// less.
    duration target{};
    /// Latency objective for the gap between two events of a stream.
    duration target_gap{};
    /// 0 is the most urgent.
    int rank = 0;
    /// Maximum number of upstreams to which one attempt of a caller may be sent.
    int max_attempts = 1;
    /// Whether requests are accepted without a key.
    bool is_public = false;
    bool resumable = false;
    std::vector<weighted_service> services;

    /// Whether a request can be repeated after an attempt with an unknown result.
    bool repeatable() const {
        return semantics == request_semantics::idempotent ||
               (semantics == request_semantics::stream && resumable);
    }
    bool streams() const { return semantics == request_semantics::stream; }
};

}  // namespace fuchsiaquay
