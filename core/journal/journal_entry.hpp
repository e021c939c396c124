#pragma once

#include <cstdint>
#include <optional>
#include <tuple>

#include "core/journal/journal_outcome.hpp"
#include "core/journal/record_id.hpp"
#include "core/journal/writer_mark.hpp"

namespace fuchsiaquay {

/// Entry of one call in a shard. An entry without an outcome belongs to a call that was started
/// and whose end has not been recorded.
struct journal_entry {
    record_id record;
    /// Hash of the request, used to detect a key that is reused with a different request.
    std::uint64_t fingerprint = 0;
    writer_mark mark;
    std::optional<journal_outcome> outcome;

    friend bool operator==(const journal_entry& a, const journal_entry& b) {
        return std::tie(a.record, a.fingerprint, a.mark, a.outcome) ==
               std::tie(b.record, b.fingerprint, b.mark, b.outcome);
    }
    friend bool operator!=(const journal_entry& a, const journal_entry& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
