#pragma once

#include <string>
#include <tuple>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Class of urgency inside a contract. Rank 0 is the most urgent.
struct rank {
    std::string name;
    /// 0 is the most urgent; equal numbers in different contracts compete as equals.
    int level = 0;
    /// Part of every upstream's capacity kept for this level whatever floods in, 0 to 1.
    double floor_share = 0.0;
    /// Target for the time to first token of short prompts.
    duration first_token_target{};
    /// Whole time a request has, from arrival to last byte.
    duration deadline{};

    friend bool operator==(const rank& a, const rank& b) {
        return std::tie(a.name, a.level, a.floor_share, a.first_token_target, a.deadline) ==
               std::tie(b.name, b.level, b.floor_share, b.first_token_target, b.deadline);
    }
    friend bool operator!=(const rank& a, const rank& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
