#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// How a call that was started ended. Built by `answered` or `uncertain`.
struct journal_outcome {
    /// False: the call was sent and no answer came, so it may have run.
    bool known = false;
    /// HTTP status of the answer.
    std::uint16_t status = 0;
    std::string content_type;
    /// Whole answer, or empty when it was too large to keep.
    std::string body;
    bool body_kept = false;
    /// Hash of the whole answer.
    std::uint64_t body_digest = 0;

    /// Outcome of an answered call.
    static journal_outcome answered(std::uint16_t status, std::string content_type,
                                    std::string body);
    /// Outcome of a call that was sent and not answered.
    static journal_outcome uncertain();
    /// The same outcome with the answer reduced to its digest.
    journal_outcome without_body() const;

    friend bool operator==(const journal_outcome& a, const journal_outcome& b) {
        return std::tie(a.known, a.status, a.content_type, a.body, a.body_kept, a.body_digest) ==
               std::tie(b.known, b.status, b.content_type, b.body, b.body_kept, b.body_digest);
    }
    friend bool operator!=(const journal_outcome& a, const journal_outcome& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
