#pragma once

namespace fuchsiaquay::scenarios {

/// What the callers of a load should do next.
enum class load_phase {
    /// Make calls.
    running,
    /// Bring the calls under way to their end and make no more.
    stopping,
    /// End as soon as possible.
    abandoned
};

}  // namespace fuchsiaquay::scenarios
