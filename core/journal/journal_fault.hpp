#pragma once

namespace fuchsiaquay {

/// Mechanism taken out of the journal by a test, to show that the test notices. Programs always
/// use `none`.
enum class journal_fault {
    none,
    /// Lets the call go before its start is durable.
    call_before_confirmed,
    /// Forgets a call that was sent and not answered.
    forget_unanswered_call,
    /// Replaces a start of another writer without asking.
    take_over_started,
    /// Frees a mark on any answer, also that of a later incarnation.
    release_unknown_mark,
    /// Forgets an abandoned mark while its write may still land.
    forget_abandoned_mark,
    /// Accepts keys from before the shard's horizon.
    ignore_horizon,
};

}  // namespace fuchsiaquay
