#pragma once

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// A host that receives announcements.
struct announcement_peer {
    host_record record;
    /// Whether its own announcements arrived recently, so that it can be used as a forwarder.
    bool heard_recently = false;
};

}  // namespace fuchsiaquay
