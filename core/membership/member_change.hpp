#pragma once

#include <optional>
#include <tuple>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// What changed about one host.
struct member_change {
    member_update member;
    /// State before; empty for a host not listed before.
    std::optional<member_state> previous_state;

    friend bool operator==(const member_change& a, const member_change& b) {
        return std::tie(a.member, a.previous_state) == std::tie(b.member, b.previous_state);
    }
    friend bool operator!=(const member_change& a, const member_change& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
