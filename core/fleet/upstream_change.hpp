#pragma once

#include <cstdint>
#include <tuple>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

/// A change of the catalogue.
struct upstream_change {
    /// Only the id counts where `removed` is set.
    upstream_entry entry;
    bool removed = false;
    /// Revision of the store at which it was seen.
    std::int64_t revision = 0;

    friend bool operator==(const upstream_change& a, const upstream_change& b) {
        return std::tie(a.entry, a.removed, a.revision) == std::tie(b.entry, b.removed, b.revision);
    }
    friend bool operator!=(const upstream_change& a, const upstream_change& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
