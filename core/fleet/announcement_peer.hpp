#pragma once

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// A host that announcements go to.
struct announcement_peer {
    host_record record;
    /// Announcements of its own came lately, so that it can be relied on to pass others on.
    bool heard_recently = false;
};

}  // namespace fuchsiaquay
