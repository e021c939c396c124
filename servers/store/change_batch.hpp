#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/watch_event.hpp"

namespace fuchsiaquay {

/// Result of a poll for changes. `failure` is empty on success; otherwise the other members are not
/// valid.
struct change_batch {
    std::string failure;
    /// The requested history is no longer available, so all keys must be read again.
    bool compacted = false;
    std::vector<watch_event> events;
    /// Revision from which the next poll continues.
    std::int64_t store_revision = 0;

    bool ok() const { return failure.empty() && !compacted; }
};

}  // namespace fuchsiaquay
