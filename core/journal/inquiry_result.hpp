#pragma once

namespace fuchsiaquay {

/// Result of asking another writer about a call that it started.
enum class inquiry_result {
    /// The writer abandoned the mark before it made the call and will not use it.
    never_used,
    /// The writer is alive and is handling the call.
    in_progress,
    /// The writer is not alive or does not know the mark.
    unknown,
};

}  // namespace fuchsiaquay
