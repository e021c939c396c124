#pragma once

namespace fuchsiaquay {

/// Decision of the journal on a request to begin a call.
enum class begin_verdict {
    /// The start is durable. The caller calls the service once and then passes the token to
    /// `journal_service::finish` or `journal_service::abandon`.
    started,
    /// The call has already ended. Its recorded outcome is returned.
    finished,
    /// The call is being handled by this node or by another live node.
    in_progress,
    /// The call was started and its outcome is unknown. It is never run again.
    may_have_run,
    /// This attempt did not run and will not run; the caller may retry. Earlier attempts with the
    /// same key may have run unless `key_unused` is set as well.
    not_run,
    /// The key is not a UUIDv7.
    malformed_key,
    /// The key is older than the retention period.
    expired_key,
    /// The key's time of issue is ahead of the clock by more than the tolerance.
    future_key,
    /// The key was used before with a different request.
    reused_key,
};

}  // namespace fuchsiaquay
