#pragma once

namespace fuchsiaquay::scenarios {

/// Phase of a load, which tells its callers how to proceed.
enum class load_phase {
    /// Make calls.
    running,
    /// Finish the pending calls and make no more.
    stopping,
    /// End as soon as possible.
    abandoned
};

}  // namespace fuchsiaquay::scenarios
