#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/journal/inquiry_result.hpp"
#include "core/journal/journal_fault.hpp"
#include "core/journal/journal_settings.hpp"
#include "core/journal/shard_state.hpp"
#include "core/journal/start_decision.hpp"
#include "core/journal/start_request.hpp"
#include "core/messages/mark_use.hpp"

namespace fuchsiaquay {

/// One node's side of one shard: decides starts and gathers changes into compare-and-swap writes.
/// It does no I/O. The caller asks for the `next_step`, performs it and reports the result; at
/// most one store call is out at a time.
///
/// A start is confirmed only when the shard's value is known to carry its mark. A start given up
/// after it was sent stays abandoned until its write can no longer land and its entry is erased.
class shard_writer {
public:
    enum class step { none, read, write };

    explicit shard_writer(const journal_settings& settings,
                          journal_fault fault = journal_fault::none);

    /// Takes a start in; its decision appears in `take_decisions`, at the earliest after the next
    /// `next_step`.
    void enqueue(const start_request& request);
    /// Records how a confirmed call ended; written with a later batch.
    void finish(const record_id& record, const writer_mark& mark, const journal_outcome& outcome,
                instant now);
    /// Gives back a confirmed start whose call was never sent.
    void abandon(const record_id& record, const writer_mark& mark);

    /// From now on outcomes do not wait for other changes to share a write with.
    void write_outcomes_immediately() { outcomes_hastened_ = true; }

    /// Settles what can be settled and says which store call is wanted.
    step next_step(instant now);
    /// Marks of other writers about which `next_step` wants an inquiry. Clears the list.
    std::vector<writer_mark> take_inquiries();
    /// Decisions made since the last call. Clears the list.
    std::vector<start_decision> take_decisions();
    void on_inquiry(const writer_mark& mark, inquiry_result result);

    void on_read_started();
    /// @param revision  revision of the value, 0 when absent. One lower than seen before is stale:
    ///                  the read counts as failed and the result is false.
    bool on_read(shard_state state, std::int64_t revision);
    void on_read_failed();

    /// Builds the next value, to be written where the shard is at `expected_revision`.
    /// @param unix_ms  wall clock, milliseconds since the Unix epoch
    const shard_state& begin_write(std::int64_t unix_ms);
    std::int64_t expected_revision() const noexcept { return revision_; }
    void on_write_applied(std::int64_t revision);
    /// The write did not take effect and never will, or may have taken effect: either way the
    /// value must be read again.
    void on_write_unconfirmed();

    /// What this process knows about one of its own marks.
    mark_use use_of(const writer_mark& mark) const;
    /// True when neither calls nor writes are outstanding.
    bool idle() const;
    /// True while a call is being started, runs, or waits for its outcome to be durable.
    bool has_unfinished_calls() const;
    /// True when a start of `record` may be decided without a new append.
    bool has_record(const record_id& record) const;
    /// Encoded size of the value held in memory, in bytes.
    std::size_t cached_bytes() const;
    /// Drops the value held in memory.
    void drop_cache();

private:
    struct pending_start {
        start_request request;
        std::uint64_t reads_at_arrival = 0;
        /// Revision on which a write with this start was last sent.
        std::optional<std::int64_t> sent_on;
        bool inquired = false;
    };
    struct running_call {
        writer_mark mark;
        std::uint64_t fingerprint = 0;
        std::optional<journal_outcome> outcome;
        instant ended;
    };
    struct abandoned_start {
        record_id record;
        /// Revision on which a write with this start was last sent.
        std::int64_t sent_on = 0;
    };
    struct inquiry_answer {
        inquiry_result result = inquiry_result::unknown;
        std::uint64_t reads_at_answer = 0;
    };
    enum class evaluation { decided, append, read, wait };

    void decide(const pending_start& start, begin_verdict verdict, const char* reason,
                std::optional<journal_outcome> outcome = std::nullopt);
    bool decide_locally(const pending_start& start);
    void remember_if_sent(const pending_start& start);
    void give_up_late_starts(instant now);
    void settle_abandoned();
    void settle_running();
    evaluation evaluate(pending_start& start);
    evaluation evaluate_started(pending_start& start, const journal_entry& entry);
    evaluation evaluate_answer(const pending_start& start, const inquiry_answer& answer);
    bool outcome_due(instant now) const;
    void add_outcomes(shard_state& next) const;
    void add_starts(shard_state& next);

    journal_settings settings_;
    journal_fault fault_;
    bool busy_ = false;
    bool outcomes_hastened_ = false;
    std::optional<shard_state> known_;
    std::int64_t revision_ = 0;
    std::uint64_t reads_begun_ = 0;
    /// Number of the read that gave `known_`.
    std::uint64_t read_known_ = 0;
    shard_state next_;
    std::vector<pending_start> pending_;
    std::map<record_id, running_call> running_;
    std::map<writer_mark, abandoned_start> abandoned_;
    std::map<writer_mark, inquiry_answer> answers_;
    std::vector<writer_mark> inquiries_;
    std::vector<start_decision> decisions_;
};

}  // namespace fuchsiaquay
