#pragma once

#include "core/messages/member_update.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Entry of one host in the member table.
struct member_entry {
    member_update update;
    /// Time at which the host entered its current state.
    instant since{};
    /// Whether a probe of this leaving host failed, at time `since`.
    bool probe_failed = false;
    /// Whether this suspect was probed directly.
    bool probed = false;
};

}  // namespace fuchsiaquay
