#pragma once

namespace fuchsiaquay {

/// What an upstream says of itself in the catalogue.
enum class upstream_state {
    ready,
    /// Finishes what it has and takes nothing new.
    draining,
};

}  // namespace fuchsiaquay
