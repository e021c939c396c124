#pragma once

namespace fuchsiaquay {

/// How an attempt at an upstream ended without a complete success.
enum class attempt_outcome {
    /// Nothing of the request reached the upstream.
    not_sent,
    /// The upstream said that it did not run the request.
    declined,
    /// The upstream ran it and answered with a failure of its own.
    failed,
    /// The connection broke, or the answer made no sense: it may have run.
    unknown,
    /// Events have been passed on and the stream broke.
    broken_stream,
};

}  // namespace fuchsiaquay
