#pragma once

#include <cstdint>
#include <tuple>

namespace fuchsiaquay {

/// Totals of the journal since the start of the process.
struct journal_counters {
    std::uint64_t begins = 0;
    std::uint64_t started = 0;
    std::uint64_t replayed = 0;
    std::uint64_t not_run = 0;
    /// Calls counted in `not_run` that were refused because the write budget was used up.
    std::uint64_t over_budget = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_writes = 0;
    std::uint64_t write_conflicts = 0;
    std::uint64_t writes_unanswered = 0;
    std::uint64_t bytes_written = 0;
    std::uint64_t inquiries = 0;

    friend bool operator==(const journal_counters& a, const journal_counters& b) {
        return std::tie(a.begins, a.started, a.replayed, a.not_run, a.over_budget, a.may_have_run,
                        a.store_reads, a.store_writes, a.write_conflicts, a.writes_unanswered,
                        a.bytes_written, a.inquiries) ==
               std::tie(b.begins, b.started, b.replayed, b.not_run, b.over_budget, b.may_have_run,
                        b.store_reads, b.store_writes, b.write_conflicts, b.writes_unanswered,
                        b.bytes_written, b.inquiries);
    }
    friend bool operator!=(const journal_counters& a, const journal_counters& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
