#pragma once

#include <set>
#include <string>

#include "core/relay/attempt_outcome.hpp"

namespace fuchsiaquay {

/// What the attempts of one request have shown so far: where it was sent, who declined it, and
/// whether it may have run.
class attempt_history {
public:
    /// Counts another attempt.
    void begin() { ++count_; }
    /// Records the end of an attempt.
    /// @param at_fault  engine that caused the failure; empty if it was `upstream`
    void end(const std::string& upstream, attempt_outcome outcome, const std::string& at_fault);
    /// Records that `upstream` is silent, so that another one is asked before it has answered.
    void stall(const std::string& upstream);
    /// Records that an attempt at `upstream` was cancelled before it ended.
    void abandon(const std::string& upstream) { sent_to_.insert(upstream); }
    /// Records that some upstream may have executed the request.
    void note_execution() { may_have_run_ = true; }

    /// Number of attempts that have begun.
    int count() const noexcept { return count_; }
    bool may_have_run() const noexcept { return may_have_run_; }
    /// Whether an attempt that has ended, or is silent, sent the request to `upstream`.
    bool sent_to(const std::string& upstream) const { return sent_to_.count(upstream) > 0; }
    /// Whether `upstream` declined. It is not asked again, because a second refusal could be a
    /// repetition of the first one, which has the same id.
    bool declined_by(const std::string& upstream) const { return declined_by_.count(upstream) > 0; }
    /// Upstream, or engine at fault, of the last attempt that failed; empty if none.
    const std::string& last_failed() const noexcept { return last_failed_; }
    /// Upstreams that must not be chosen for another attempt.
    /// @param failed  an upstream that has just failed; empty for none
    std::set<std::string> excluded(const std::string& failed) const;
    /// Whether another attempt is allowed after one with `outcome`.
    /// @param max_executed  maximum number of attempts that upstreams may have executed
    bool attempts_left(attempt_outcome outcome, int max_executed) const;

private:
    int count_ = 0;
    /// Number of attempts that an upstream may have executed.
    int executed_ = 0;
    bool may_have_run_ = false;
    std::string last_failed_;
    std::set<std::string> sent_to_;
    std::set<std::string> declined_by_;
};

}  // namespace fuchsiaquay
