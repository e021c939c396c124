#pragma once

#include <cstddef>
#include <string>

namespace fuchsiaquay {

/// Memory that is held for a caller.
struct memory_claim {
    /// As allocated.
    std::size_t bytes = 0;
    /// Key or address of the caller.
    std::string owner;
    /// Whether the caller is known to be allowed to send requests.
    bool confirmed = true;

    friend bool operator==(const memory_claim& a, const memory_claim& b) {
        return a.bytes == b.bytes && a.owner == b.owner && a.confirmed == b.confirmed;
    }
    friend bool operator!=(const memory_claim& a, const memory_claim& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
