#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// Outcome of a call that was started. Create it with `answered` or `uncertain`.
struct journal_outcome {
    /// False when the call was sent and got no answer, so that it may have run.
    bool known = false;
    /// HTTP status of the answer.
    std::uint16_t status = 0;
    std::string content_type;
    /// Complete body of the answer; empty when `body_kept` is false.
    std::string body;
    bool body_kept = false;
    /// Hash of the complete body.
    std::uint64_t body_digest = 0;

    /// Outcome of an answered call.
    static journal_outcome answered(std::uint16_t status, std::string content_type,
                                    std::string body);
    /// Outcome of a call that was sent and got no answer.
    static journal_outcome uncertain();
    /// Returns a copy that keeps the digest of the body but not the body itself.
    journal_outcome without_body() const;

    friend bool operator==(const journal_outcome& a, const journal_outcome& b) {
        return std::tie(a.known, a.status, a.content_type, a.body, a.body_kept, a.body_digest) ==
               std::tie(b.known, b.status, b.content_type, b.body, b.body_kept, b.body_digest);
    }
    friend bool operator!=(const journal_outcome& a, const journal_outcome& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
