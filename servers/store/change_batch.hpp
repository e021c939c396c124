#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/watch_event.hpp"

namespace fuchsiaquay {

/// Answer to a poll for changes. `failure` is empty on success; otherwise nothing is known.
struct change_batch {
    std::string failure;
    /// The asked history is gone: everything has to be read again.
    bool compacted = false;
    std::vector<watch_event> events;
    /// Revision from which the next poll continues.
    std::int64_t store_revision = 0;

    bool ok() const { return failure.empty() && !compacted; }
};

}  // namespace fuchsiaquay
