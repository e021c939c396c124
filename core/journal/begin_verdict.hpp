#pragma once

namespace fuchsiaquay {

/// What the journal decided about a call.
enum class begin_verdict {
    /// The start is durable: call the service once, then `finish` or `abandon` the token.
    started,
    /// The call ended before; its outcome is replayed.
    finished,
    /// Another live node, or this one, has the call in hand.
    in_progress,
    /// The call was started and its end is not known. It is never run again.
    may_have_run,
    /// This attempt did not run and will not; the caller may ask again. Says nothing about
    /// earlier attempts with the key unless `key_unused` is set beside it.
    not_run,
    /// The key is not a UUIDv7.
    malformed_key,
    /// The key is older than the retention period.
    expired_key,
    /// The key was issued ahead of the clock.
    future_key,
    /// The key came before with a different request.
    reused_key,
};

}  // namespace fuchsiaquay
