#pragma once

namespace fuchsiaquay {

/// How far a copy of the store's data can be relied on.
enum class copy_state {
    /// Holds every change that has to be in force by now.
    current,
    /// May be used, but a change that has to be in force may be missing.
    late,
    /// Too old to be used for requests with a key.
    expired,
    /// Lacks a change that is known to exist and may have to be in force. Must not be used.
    replaced,
};

}  // namespace fuchsiaquay
