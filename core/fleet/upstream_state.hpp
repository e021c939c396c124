#pragma once

namespace fuchsiaquay {

/// State of an upstream according to the catalogue.
enum class upstream_state {
    ready,
    /// Finishes its active requests and accepts no new ones.
    draining,
};

}  // namespace fuchsiaquay
