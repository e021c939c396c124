#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "core/identity/names.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Changes that an elected poller read from the host list. Views are numbered per poller; a
/// receiver that misses a number requests the complete view.
struct upstream_update {
    /// Number of the view after this update; increases within one incarnation of the poller.
    std::uint64_t version = 0;
    /// Number of the view to which this update applies; 0 for a complete view.
    std::uint64_t base_version = 0;
    /// True if the sender is not a poller and requests the receiver's complete view.
    bool request = false;
    /// New and changed upstreams.
    std::vector<upstream> changed;
    /// Upstreams removed from the list.
    std::vector<upstream_id> gone;

    friend bool operator==(const upstream_update& a, const upstream_update& b) {
        return std::tie(a.version, a.base_version, a.request, a.changed, a.gone) ==
               std::tie(b.version, b.base_version, b.request, b.changed, b.gone);
    }
    friend bool operator!=(const upstream_update& a, const upstream_update& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
