#pragma once

#include "core/retry/retry_policy.hpp"
#include "servers/requests/retry_rules.hpp"

namespace fuchsiaquay {

/// Allows retries within a budget for each customer. Completions are idempotent and may be retried.
/// A service call that is not repeatable is not retried once it may have run.
class budgeted_retry_rules final : public retry_rules {
public:
    budgeted_retry_rules(const retry_settings& settings, std::uint64_t seed);

    void first_attempt(const request_flow& flow, instant now) override;
    bool allow(const request_flow& flow, const attempt_result& failed, instant now,
               duration& delay) override;

private:
    retry_policy policy_;
};

}  // namespace fuchsiaquay
