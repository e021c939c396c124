#pragma once

#include "core/messages/member_update.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// One host in the member table.
struct member_entry {
    member_update update;
    /// When the host came into its present state.
    instant since{};
    /// True: a probe of this leaving host failed at `since`.
    bool probe_failed = false;
    /// True: this suspect was asked directly whether it lives.
    bool probed = false;
};

}  // namespace fuchsiaquay
