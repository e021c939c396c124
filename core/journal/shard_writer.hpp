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

/// State machine with which one node writes one shard: decides on requests to start calls and
/// batches changes into compare-and-swap writes. It does no I/O. The caller asks for the
/// `next_step`, performs it and reports the result; at most one store call is pending at a time.
///
/// A start is confirmed only once the shard's value is known to contain its mark. If a start is
/// abandoned after its write was sent, its mark is kept until that write can no longer take effect
/// and the entry is erased.
class shard_writer {
public:
    enum class step { none, read, write };

    explicit shard_writer(const journal_settings& settings,
                          journal_fault fault = journal_fault::none);

    /// Adds a request to start a call. Its decision is returned by `take_decisions`, usually after
    /// a later `next_step`.
    void enqueue(const start_request& request);
    /// Records the outcome of a confirmed call. It is written with a later batch.
    void finish(const record_id& record, const writer_mark& mark, const journal_outcome& outcome,
                instant now);
    /// Abandons a confirmed start whose call was never sent.
    void abandon(const record_id& record, const writer_mark& mark);

    /// From now on outcomes are written without waiting to be batched with other changes.
    void write_outcomes_immediately() { outcomes_immediate_ = true; }

    /// Makes the decisions that are possible now and returns the store call that is needed next.
    step next_step(instant now);
    /// Returns and clears the marks of other writers about which those writers must be asked.
    std::vector<writer_mark> take_inquiries();
    /// Returns and clears the decisions made since the previous call.
    std::vector<start_decision> take_decisions();
    void on_inquiry(const writer_mark& mark, inquiry_result result);

    void on_read_started();
    /// Returns false if the read is stale, that is, if its revision is lower than one seen before.
    /// A stale read counts as failed.
    /// @param revision  revision of the value; 0 when the value is absent
    bool on_read(shard_state state, std::int64_t revision);
    void on_read_failed();

    /// Builds the next value. It must be written on condition that the shard is still at
    /// `expected_revision`.
    /// @param unix_ms  wall clock, milliseconds since the Unix epoch
    const shard_state& begin_write(std::int64_t unix_ms);
    std::int64_t expected_revision() const noexcept { return revision_; }
    void on_write_applied(std::int64_t revision);
    /// Reports a write that failed or that may have taken effect. In both cases the value is read
    /// again.
    void on_write_unconfirmed();

    /// Returns whether this process used one of its own marks.
    mark_use use_of(const writer_mark& mark) const;
    /// True when no calls and no store calls are pending.
    bool idle() const;
    /// True while a call is being started, is running, or has an outcome that is not yet durable.
    bool has_unfinished_calls() const;
    /// True if `record` is known here, so that a start of it may need no new entry.
    bool has_record(const record_id& record) const;
    /// Encoded size of the cached value in bytes.
    std::size_t cached_bytes() const;
    /// Discards the cached value.
    void drop_cache();

private:
    struct pending_start {
        start_request request;
        /// Number of reads started before this request arrived.
        std::uint64_t reads_at_arrival = 0;
        /// Expected revision of the last write that contained this start.
        std::optional<std::int64_t> expected_revision;
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
        /// Expected revision of the last write that contained this start.
        std::int64_t expected_revision = 0;
    };
    struct inquiry_answer {
        inquiry_result result = inquiry_result::unknown;
        /// Number of reads started before the answer arrived.
        std::uint64_t reads_at_answer = 0;
    };
    enum class evaluation { decided, append, read, wait };

    void decide(const pending_start& start, begin_verdict verdict, const char* reason,
                std::optional<journal_outcome> outcome = std::nullopt);
    bool decide_locally(const pending_start& start);
    void keep_mark_if_sent(const pending_start& start);
    void reject_expired_starts(instant now);
    void remove_resolved_abandoned();
    void remove_recorded_calls();
    evaluation evaluate(pending_start& start);
    evaluation evaluate_started(pending_start& start, const journal_entry& entry);
    evaluation evaluate_answer(const pending_start& start, const inquiry_answer& answer);
    bool outcome_due(instant now) const;
    void add_outcomes(shard_state& next) const;
    void add_starts(shard_state& next);

    journal_settings settings_;
    journal_fault fault_;
    bool store_call_pending_ = false;
    bool outcomes_immediate_ = false;
    std::optional<shard_state> cached_state_;
    std::int64_t revision_ = 0;
    std::uint64_t reads_started_ = 0;
    /// Value of `reads_started_` at the last read of the value.
    std::uint64_t cached_read_number_ = 0;
    shard_state next_state_;
    std::vector<pending_start> pending_;
    std::map<record_id, running_call> running_;
    std::map<writer_mark, abandoned_start> abandoned_;
    std::map<writer_mark, inquiry_answer> answers_;
    std::vector<writer_mark> inquiries_;
    std::vector<start_decision> decisions_;
};

}  // namespace fuchsiaquay
