#pragma once

#include <cstdint>
#include <string>

#include "core/fleet/host_record.hpp"

namespace fuchsiaquay {

/// A host asks another one for what it knows of the store.
struct view_request {
    host_record sender;
    /// The sender stands by and wants to hear of the hosts that serve.
    bool standby = false;
    /// Returned by the answer, so that its age counts from the question.
    std::uint64_t nonce = 0;
    /// Revision of the store that the sender's copy of the catalogue reflects.
    std::int64_t catalogue_revision = 0;
};

}  // namespace fuchsiaquay
