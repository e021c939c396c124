#pragma once

#include <cstdint>
#include <vector>

#include "core/fleet/upstream_change.hpp"

namespace fuchsiaquay {

/// Changes of the catalogue between two revisions of the store.
struct catalogue_delta {
    /// If true, `changes` is the whole catalogue.
    bool complete = false;
    /// Store revision of the sender's copy; 0 if it has none.
    std::int64_t revision = 0;
    std::vector<upstream_change> changes;
};

}  // namespace fuchsiaquay
