#pragma once

#include <optional>
#include <tuple>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// A change of one host in the member table.
struct member_change {
    member_update member;
    /// Empty if the host was not listed before.
    std::optional<member_state> previous_state;

    friend bool operator==(const member_change& a, const member_change& b) {
        return std::tie(a.member, a.previous_state) == std::tie(b.member, b.previous_state);
    }
    friend bool operator!=(const member_change& a, const member_change& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
