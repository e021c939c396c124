#pragma once

namespace fuchsiaquay {

/// What an attempt showed about its upstream.
enum class attempt_evidence {
    /// The upstream answered, be it with a refusal.
    answered,
    /// Connection refused or broken, or a malformed answer.
    failed,
    /// A new connection was not accepted or went silent.
    stalled_new_connection,
    /// A connection that had worked went silent. Says nothing about the upstream: something
    /// between the two ends may have lost it.
    stalled_reused_connection,
};

}  // namespace fuchsiaquay
