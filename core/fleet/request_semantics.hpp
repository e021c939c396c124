#pragma once

namespace fuchsiaquay {

/// Whether requests of a route can be repeated safely.
enum class request_semantics {
    /// Can be executed any number of times.
    idempotent,
    /// Executed at most once for each attempt of the caller.
    non_idempotent,
    /// Answered by a stream of events; repeatable only if the route is resumable.
    stream,
};

}  // namespace fuchsiaquay
