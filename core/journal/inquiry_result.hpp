#pragma once

namespace fuchsiaquay {

/// What an inquiry about another writer's start gave.
enum class inquiry_result {
    /// The writer abandoned the mark before any call and will not use it.
    never_used,
    /// The writer lives and has the call in hand.
    in_progress,
    /// The writer is gone or no longer knows the mark.
    unknown,
};

}  // namespace fuchsiaquay
