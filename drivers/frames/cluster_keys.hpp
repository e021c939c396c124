#pragma once

#include <string>

namespace fuchsiaquay {

/// Shared keys with which nodes authenticate frames. A key is rotated in three steps: every node
/// accepts the new key as `secondary`, every node signs with the new key, the old key is removed.
struct cluster_keys {
    /// Signs outgoing frames and verifies incoming ones.
    std::string current;
    /// Only verifies incoming frames. Empty unless a key rotation is in progress.
    std::string secondary;
};

}  // namespace fuchsiaquay
