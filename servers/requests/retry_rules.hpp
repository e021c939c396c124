#pragma once

#include "core/request/attempt_result.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class request_flow;

/// Decides whether a failed attempt is retried.
class retry_rules {
public:
    retry_rules() = default;
    retry_rules(const retry_rules&) = delete;
    retry_rules& operator=(const retry_rules&) = delete;
    virtual ~retry_rules() = default;

    /// Counts the first attempt of a request.
    virtual void first_attempt(const request_flow& flow, instant now) = 0;
    /// Returns true if the request may be retried, and sets `delay` to the time to wait before.
    virtual bool allow(const request_flow& flow, const attempt_result& failed, instant now,
                       duration& delay) = 0;
};

}  // namespace fuchsiaquay
