#pragma once

#include <string>
#include <vector>

#include "core/fleet/request_semantics.hpp"
#include "core/fleet/weighted_service.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Terms under which the requests of one host name and path prefix are served.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_semantics semantics = request_semantics::non_idempotent;
    /// Longest time that a caller is kept waiting.
    duration timeout{};
    /// Time within which an answer, or the first event of a stream, has its full worth.
    duration target{};
    /// Longest pause between two events of a stream that is still on time.
    duration target_gap{};
    /// 0 is the most urgent.
    int rank = 0;
    /// Most upstreams that one attempt of a caller may be sent to.
    int max_attempts = 1;
    /// True: no key is asked for.
    bool is_public = false;
    bool resumable = false;
    std::vector<weighted_service> services;

    /// True when a request may run again after an attempt whose result is unknown.
    bool repeatable() const {
        return semantics == request_semantics::idempotent ||
               (semantics == request_semantics::stream && resumable);
    }
    bool streams() const { return semantics == request_semantics::stream; }
};

}  // namespace fuchsiaquay
