#pragma once

namespace fuchsiaquay {

/// Fault that a test injects into the journal to prove that the test detects it: each one
/// disables one safety mechanism. Production code always uses `none`.
enum class journal_fault {
    none,
    /// Allows the call before its start is durable.
    call_before_confirmed,
    /// Discards a call that was sent and got no answer.
    forget_unanswered_call,
    /// Replaces another writer's start without asking that writer.
    take_over_started,
    /// Treats a mark as never used after any answer, including that of a later incarnation.
    release_unknown_mark,
    /// Discards an abandoned mark while its write may still take effect.
    forget_abandoned_mark,
    /// Accepts keys that were issued before the shard's retention horizon.
    ignore_horizon,
};

}  // namespace fuchsiaquay
