#pragma once

#include <cstdint>
#include <string>

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// Asks another host how current its copy of the store's data is and what has changed.
struct view_request {
    host_record sender;
    /// Whether the sender is on standby and needs the list of serving hosts.
    bool standby = false;
    /// Copied into the reply, so that ages can be counted from the time of the request.
    std::uint64_t nonce = 0;
    /// Store revision of the sender's copy of the catalogue.
    std::int64_t catalogue_revision = 0;
};

}  // namespace fuchsiaquay
