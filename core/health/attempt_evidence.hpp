#pragma once

namespace fuchsiaquay {

/// What an attempt showed about the health of its upstream.
enum class attempt_evidence {
    /// The upstream answered, even if with a refusal.
    answered,
    /// The connection broke, or the answer was malformed.
    failed,
    /// The connection was refused: nothing listens at the upstream's address.
    refused,
    /// A new connection was not accepted, or no data arrived on it in time.
    stalled_new_connection,
    /// No data arrived in time on a connection that had worked before. This says nothing about the
    /// upstream, since something on the path between the two ends may have dropped the connection.
    stalled_reused_connection,
};

}  // namespace fuchsiaquay
