#pragma once

#include <string>
#include <tuple>

namespace fuchsiaquay::scenarios {

/// A property that a history violates.
struct violation {
    /// Short stable name, for example "at most once".
    std::string property;
    std::string detail;

    friend bool operator==(const violation& a, const violation& b) {
        return std::tie(a.property, a.detail) == std::tie(b.property, b.detail);
    }
    friend bool operator!=(const violation& a, const violation& b) { return !(a == b); }
};

}  // namespace fuchsiaquay::scenarios
