#pragma once

#include <cstdint>
#include <vector>

#include "core/fleet/upstream_change.hpp"

namespace fuchsiaquay {

/// What changed in the catalogue between two revisions of the store.
struct catalogue_delta {
    /// True: the changes are the whole catalogue.
    bool complete = false;
    /// Revision of the store that the sender's copy reflects; 0 when it has none.
    std::int64_t revision = 0;
    std::vector<upstream_change> changes;
};

}  // namespace fuchsiaquay
