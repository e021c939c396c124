#pragma once

namespace fuchsiaquay {

/// What a route promises about repeating its requests.
enum class request_semantics {
    /// May run any number of times.
    idempotent,
    /// Runs at most once for each attempt of the caller.
    non_idempotent,
    /// Answered by a series of events; repeatable only where the route allows resuming.
    stream,
};

}  // namespace fuchsiaquay
