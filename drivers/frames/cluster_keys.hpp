#pragma once

#include <string>

namespace fuchsiaquay {

/// Shared keys that nodes authenticate frames with. During a rotation first every node accepts the
/// new key as `secondary`, then every node signs with it, then the old one is removed.
struct cluster_keys {
    /// Signs outgoing frames and is accepted.
    std::string current;
    /// Accepted only; empty outside a rotation.
    std::string secondary;
};

}  // namespace fuchsiaquay
