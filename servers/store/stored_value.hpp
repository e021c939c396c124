#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// A key of the store with its value and revision.
struct stored_value {
    std::string key;
    std::string value;
    /// Revision of the last write to this key; 0 if the key does not exist.
    std::int64_t revision = 0;

    friend bool operator==(const stored_value& a, const stored_value& b) {
        return std::tie(a.key, a.value, a.revision) == std::tie(b.key, b.value, b.revision);
    }
    friend bool operator!=(const stored_value& a, const stored_value& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
