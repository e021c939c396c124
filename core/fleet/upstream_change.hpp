#pragma once

#include <cstdint>
#include <tuple>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

/// A change of one entry of the catalogue.
struct upstream_change {
    /// Only the id is valid if `removed` is set.
    upstream_entry entry;
    bool removed = false;
    /// Store revision at which the change was observed.
    std::int64_t revision = 0;

    friend bool operator==(const upstream_change& a, const upstream_change& b) {
        return std::tie(a.entry, a.removed, a.revision) == std::tie(b.entry, b.removed, b.revision);
    }
    friend bool operator!=(const upstream_change& a, const upstream_change& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
