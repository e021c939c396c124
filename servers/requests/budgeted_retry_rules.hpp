#pragma once

#include "core/retry/retry_policy.hpp"
#include "servers/requests/retry_rules.hpp"

namespace fuchsiaquay {

/// Retries within a budget per customer; completions are idempotent, calls that may not be
/// repeated never are.
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
