#pragma once

#include <cstdint>
#include <optional>
#include <tuple>

#include "core/journal/journal_outcome.hpp"
#include "core/journal/record_id.hpp"
#include "core/journal/writer_mark.hpp"

namespace fuchsiaquay {

/// One call in a shard. Without an outcome it is only started.
struct journal_entry {
    record_id record;
    /// Hash of the request, so that a key presented with another request is noticed.
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
