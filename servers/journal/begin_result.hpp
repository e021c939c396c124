#pragma once

#include <optional>
#include <string>
#include <tuple>

#include "core/journal/begin_verdict.hpp"
#include "core/journal/journal_outcome.hpp"
#include "core/time/clock.hpp"
#include "servers/journal/journal_token.hpp"

namespace fuchsiaquay {

/// Result of `journal_service::begin`.
struct begin_result {
    begin_verdict verdict = begin_verdict::not_run;
    /// Stable reason code for logs and errors.
    std::string reason;
    /// Delay before the caller should retry; set for `not_run` and `in_progress`.
    duration retry_after{};
    /// Set for `started`.
    journal_token token;
    /// Set for `finished`.
    std::optional<journal_outcome> outcome;
    /// Used with `not_run`. True if no earlier attempt with this key ran either. False if the
    /// journal could not be read, so that only this attempt is known not to have run.
    bool key_unused = false;

    friend bool operator==(const begin_result& a, const begin_result& b) {
        return std::tie(a.verdict, a.reason, a.retry_after, a.token, a.outcome, a.key_unused) ==
               std::tie(b.verdict, b.reason, b.retry_after, b.token, b.outcome, b.key_unused);
    }
    friend bool operator!=(const begin_result& a, const begin_result& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
