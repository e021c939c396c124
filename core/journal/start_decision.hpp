#pragma once

#include <optional>
#include <string>
#include <tuple>

#include "core/journal/begin_verdict.hpp"
#include "core/journal/journal_outcome.hpp"
#include "core/journal/writer_mark.hpp"

namespace fuchsiaquay {

/// Decision on the `start_request` with the same mark.
struct start_decision {
    writer_mark mark;
    begin_verdict verdict = begin_verdict::not_run;
    /// Stable reason code for logs and errors; empty for `started` and `finished`.
    std::string reason;
    /// Set for `finished`.
    std::optional<journal_outcome> outcome;
    /// Used with `not_run`. True if the journal was read after the request arrived and has no entry
    /// for the key, so that no earlier attempt ran either. False if only this attempt is known not
    /// to run.
    bool key_unused = false;

    friend bool operator==(const start_decision& a, const start_decision& b) {
        return std::tie(a.mark, a.verdict, a.reason, a.outcome, a.key_unused) ==
               std::tie(b.mark, b.verdict, b.reason, b.outcome, b.key_unused);
    }
    friend bool operator!=(const start_decision& a, const start_decision& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
