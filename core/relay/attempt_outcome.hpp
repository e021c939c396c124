#pragma once

namespace fuchsiaquay {

/// Result of an attempt that did not succeed completely.
enum class attempt_outcome {
    /// No part of the request reached the upstream.
    not_sent,
    /// The upstream reported that it did not execute the request.
    declined,
    /// The upstream executed the request and answered with an error.
    failed,
    /// The connection failed or the response was invalid; the upstream may have executed the
    /// request.
    unknown,
    /// The stream failed after events had been forwarded to the caller.
    broken_stream,
};

}  // namespace fuchsiaquay
