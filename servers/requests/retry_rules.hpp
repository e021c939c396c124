#pragma once

#include "core/request/attempt_result.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class request_flow;

/// Decides whether a failed attempt is followed by another one.
class retry_rules {
public:
    retry_rules() = default;
    retry_rules(const retry_rules&) = delete;
    retry_rules& operator=(const retry_rules&) = delete;
    virtual ~retry_rules() = default;

    /// True: try again after `delay`.
    virtual bool allow(const request_flow& flow, const attempt_result& failed, instant now,
                       duration& delay) = 0;
};

}  // namespace fuchsiaquay
